// Package store is the client of the platform's table service, object store and host list. Its calls fail immediately while the platform is unavailable.
package store
