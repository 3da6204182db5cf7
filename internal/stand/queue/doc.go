// Package queue models the slots of an upstream and the calls that wait for them, ordered by urgency.
package queue
