// Package client sends requests to the entry hosts. If an answer is lost, it sends the request again under
// the same idempotency key to determine the outcome.
package client
