// Package chain runs a request through the stages of its pipeline, one upstream attempt after another, to one outcome.
package chain
