// Package queue models the slots of an upstream and the work that waits for them, the most urgent first.
package queue
