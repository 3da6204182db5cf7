// Package tally counts attainment, latency and cost by stage for each client account and pipeline.
package tally
