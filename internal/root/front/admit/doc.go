// Package admit decides whether a request can be answered in time, has to wait, or is refused at once.
package admit
