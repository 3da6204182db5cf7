// Package rows is a stand-in for the store of the users' platform, with its change feed and its failure modes.
package rows
