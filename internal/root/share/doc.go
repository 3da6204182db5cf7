// Package share divides the time left until a deadline between the stages that have not run yet.
package share
