// Package send sends requests to upstreams, each over a connection of its own, and says what is known when no answer comes.
package send
