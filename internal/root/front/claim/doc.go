// Package claim stores a claim for each idempotency key in the table service, so that a request runs at most once over all hosts.
package claim
