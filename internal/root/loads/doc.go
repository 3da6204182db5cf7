// Package loads keeps the load reports of upstreams: each is polled by a few hosts and shared with the others.
package loads
