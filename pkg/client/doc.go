// Package client sends requests to the entry hosts, and settles what became of one whose answer was lost.
package client
