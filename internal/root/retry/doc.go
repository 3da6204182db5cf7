// Package retry decides whether a stage is retried after an attempt that returned no result.
package retry
