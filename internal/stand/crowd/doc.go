// Package crowd plays callers that stay outside the limits, and reads what a process holds for them.
package crowd
