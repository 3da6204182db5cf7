// Package plan works out which orders bring a pool's engines nearer to what operators approved.
package plan
