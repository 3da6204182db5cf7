// Package opapi is a client of the operators' HTTP interface of a daemon.
package opapi
