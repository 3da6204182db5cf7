// Package links connects this host to upstreams: by itself, or through another host if it reaches none of their pool.
package links
