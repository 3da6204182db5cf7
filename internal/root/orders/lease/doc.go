// Package lease elects the one host that may send orders. The lease is a row in the table service and carries a
// fencing number.
package lease
