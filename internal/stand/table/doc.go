// Package table is a stand-in for the platform's table service, object store and host list.
package table
