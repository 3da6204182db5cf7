// Package setup holds the settings of one daemon, read from a YAML file and checked before anything starts.
package setup
