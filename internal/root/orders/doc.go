// Package orders orders engines to load the approved models and versions. At most one host, the lease holder, sends
// orders at a time.
package orders
