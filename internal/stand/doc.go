// Package stand runs stand-ins for the platform and the upstreams. Faults can be injected into them over HTTP.
package stand
