// Package super runs the parts of a daemon as a supervision tree: start in order, restart with backoff, stop in reverse.
package super
