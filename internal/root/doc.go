// Package root is the root of the daemon's supervision tree. It constructs the parts, connects them and runs them.
package root
