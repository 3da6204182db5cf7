// Package send sends each request to an upstream over a new connection. If no response arrives, it reports whether the upstream may have run the request.
package send
