// Package view merges the platform's host list, peer heartbeats and reports from the data path into one view of hosts and upstreams.
package view
