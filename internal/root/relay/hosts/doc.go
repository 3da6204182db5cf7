// Package hosts knows the other hosts: which are alive, and which one batches the pieces for a pool.
package hosts
