// Package follow maintains this host's copies of the platform's tables: the active configuration, the upstreams and the other hosts.
package follow
