// Package client sends requests to the entry hosts. It retries a request whose answer was lost under the same idempotency
// key to determine its outcome.
package client
