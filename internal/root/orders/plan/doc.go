// Package plan selects the engines of a pool that are ordered next to load what the operators approved.
package plan
