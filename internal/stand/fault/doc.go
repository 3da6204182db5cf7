// Package fault defines the faults that can be injected into stand-ins, and the switch that holds the active ones.
package fault
