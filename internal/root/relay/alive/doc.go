// Package alive finds out that the host at the other end of a connection is lost: nothing at all has arrived from it for a while. What waits behind other bytes does not matter, since these bytes show as well that the host lives.
package alive
