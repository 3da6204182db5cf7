// Package admin serves the operators' HTTP interface: the configuration document, its history, and the state of the hosts and upstreams.
package admin
