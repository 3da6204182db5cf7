// Package hosts tracks the other hosts: which ones are up, and which one owns each queue and batches its pieces.
package hosts
