// Package setup reads the settings of a daemon from a YAML file and checks them before the daemon starts.
package setup
