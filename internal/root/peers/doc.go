// Package peers lets entry hosts tell each other over QUIC what they know, each with a few others at a time.
package peers
