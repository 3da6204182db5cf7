// Package demo runs stand-ins and three daemons over loopback sockets, sends a mixed workload, and checks that every promise held.
package demo
