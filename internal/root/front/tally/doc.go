// Package tally counts outcomes, latency and the cost of each stage by client account and pipeline.
package tally
