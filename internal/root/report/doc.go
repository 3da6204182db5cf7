// Package report stores the request counts of each host, one report per minute, and summarizes them over hosts and time.
// The reports are objects in the object store; a table indexes them.
package report
