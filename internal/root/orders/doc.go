// Package orders makes the engines of each pool load the approved model and version. At most one host, the lease
// holder, sends orders at a time.
package orders
