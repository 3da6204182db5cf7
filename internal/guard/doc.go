// Package guard bounds what a host holds for callers: bytes in memory, and connections.
package guard
