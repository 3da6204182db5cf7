// Package front implements the HTTP interface for callers. It validates a request, applies admission control,
// claims the idempotency key if the request must run at most once, runs the pipeline and returns the outcome.
package front
