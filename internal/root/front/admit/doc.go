// Package admit implements admission control: it decides whether a request is admitted, deferred or rejected, based on its predicted latency.
package admit
