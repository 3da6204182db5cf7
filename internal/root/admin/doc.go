// Package admin serves operators: the configuration document, its history, and the state of hosts and upstreams.
package admin
