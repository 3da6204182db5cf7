// Package follow keeps this host's view of the platform's tables: the configuration in force, the upstreams and the other hosts.
package follow
