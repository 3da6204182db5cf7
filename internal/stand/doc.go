// Package stand runs stand-ins for the platform and the upstreams, with faults that are switched on over HTTP.
package stand
