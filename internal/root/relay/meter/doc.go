// Package meter counts the outcomes of requests and records histograms of their latencies for the metrics of a host.
package meter
