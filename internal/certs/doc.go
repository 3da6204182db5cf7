// Package certs creates and loads the certificates for mutual TLS between entry hosts.
package certs
