// Package bench measures the latency and CPU time that a daemon adds to direct calls of an upstream.
package bench
