// Package sweep deletes the claims of finished requests after their retention period. Only the host that holds the lease for orders deletes them.
package sweep
