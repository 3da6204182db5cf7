// Package relay is the daemon of an entry host. It forwards callers' requests unchanged to the upstreams of a platform.
package relay
