// Package stage holds the messages between an entry host and the upstreams that run the stages.
package stage
