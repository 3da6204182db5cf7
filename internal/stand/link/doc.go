// Package link is a stand-in for the network between an entry host and one server. A test can cut it.
package link
