// Package view joins what the platform's list, the peers' heartbeats and the data path say about hosts and upstreams.
package view
