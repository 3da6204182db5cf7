// Package plan holds the configuration of a host that passes requests on unchanged: routes, pools, accounts and limits.
package plan
