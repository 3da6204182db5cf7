// Package batch combines pieces of many requests into calls to workers: it orders the pieces, chooses a worker for each call, and refuses work that would not finish in time.
package batch
