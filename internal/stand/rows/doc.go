// Package rows is a stand-in for the store of the users' platform, with its feed and its ways to fail.
package rows
