// Package route chooses an upstream for each attempt from lagging load reports corrected by what this host has sent.
package route
