// Package store reaches the platform's table service, object store and host list, and fails at once while they are out.
package store
