// Package grant implements the lease under which a host may serve requests with keys. The lease expires unless the platform's store keeps confirming the configuration.
package grant
