// Package stage defines the messages between an entry host and the upstreams that run pipeline stages.
package stage
