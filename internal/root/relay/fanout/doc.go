// Package fanout decides how a table of the platform's store reaches every host: few hosts of each failure domain read it from the store, and the others from these. It needs no network.
package fanout
