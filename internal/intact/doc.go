// Package intact keeps what is no whole response from being read as one, such as one whose connection was reset.
package intact
