// Package trace extracts the lines of one request from the hosts' logs.
package trace
