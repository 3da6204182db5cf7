// Package sweep deletes the claims of requests that ended long ago, on the host that holds the lease.
package sweep
