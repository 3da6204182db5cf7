// Package intact keeps what is no whole response from being read as one: the reset of a connection that would pass for its end, and bytes that are no head of a response.
package intact
