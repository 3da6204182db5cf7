// Package crash finds the requests that crash the upstreams they run on, and stops them without stopping those that were beside them.
package crash
