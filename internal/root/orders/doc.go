// Package orders brings the engines to what operators approved, one order holder at a time.
package orders
