// Package retry decides whether a stage is tried again after an attempt that brought no result.
package retry
