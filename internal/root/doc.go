// Package root is the root of the daemon's supervision tree: it builds the parts and wires them together.
package root
