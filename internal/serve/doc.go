// Package serve runs an HTTP server that stops gracefully behind a balancer.
package serve
