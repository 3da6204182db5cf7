// Package wire holds the messages, headers and outcomes that callers exchange with an entry host.
package wire
