// Package fault holds the faults of the stand-ins and the switch that turns them on and off.
package fault
