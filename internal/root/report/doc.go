// Package report keeps what each host has counted in the object store, and sums it up over hosts and time.
package report
