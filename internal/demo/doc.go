// Package demo runs three daemons against stand-ins over loopback sockets, sends a mixed workload while faults are injected, and checks that the daemons kept every promise (see Result).
package demo
