// Package plat defines the JSON messages of the platform's table service and host list.
package plat
