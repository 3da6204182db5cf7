// Package backup keeps in the platform's store what must outlive all hosts: which software version each pool has had alone, at which version streams began while there were several, and what crashes upstreams.
package backup
