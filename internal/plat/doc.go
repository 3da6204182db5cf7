// Package plat holds the messages of the platform's table service, object store and host list.
package plat
