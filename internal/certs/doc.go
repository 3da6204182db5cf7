// Package certs makes and loads the certificates by which entry hosts prove themselves to each other.
package certs
