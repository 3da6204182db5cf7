// Package serve runs an HTTP server that stops gracefully behind a load balancer.
package serve
