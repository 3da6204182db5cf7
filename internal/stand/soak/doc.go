// Package soak runs entry hosts as separate processes against stand-ins of the store and the servers, injects faults from outside, and checks what callers and servers see.
package soak
