// Package relay is the daemon of an entry host that passes callers' requests on unchanged to the upstreams of a platform.
package relay
