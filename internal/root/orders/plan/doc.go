// Package plan selects the engines of a pool that receive the next orders to load the model and version that the operators approved.
package plan
