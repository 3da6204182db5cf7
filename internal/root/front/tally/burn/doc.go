// Package burn computes the burn rate of the error budget of a service-level objective over short and long windows.
package burn
