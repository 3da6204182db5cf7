// Package plan holds the configuration of a host that forwards requests unchanged: routes, pools, accounts and limits.
package plan
