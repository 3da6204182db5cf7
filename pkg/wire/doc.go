// Package wire defines the messages, headers and outcomes of the HTTP interface between callers and entry hosts.
package wire
