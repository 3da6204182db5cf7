// Package opapi calls the operators' interface of a daemon.
package opapi
