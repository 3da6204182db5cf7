// Package burn tells how fast the error budget of a service-level objective is used up, over short and long windows.
package burn
