// Package trace finds what the hosts' logs say of one request.
package trace
