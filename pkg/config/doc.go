// Package config holds the one validated document that alone changes how the system behaves.
package config
