// Package link is a stand-in for the network between an entry host and one server, or between the members of a mesh. A test can cut it.
package link
