// Package share splits the time that is left of a deadline over the stages that are still to run.
package share
