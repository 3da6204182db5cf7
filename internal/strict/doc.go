// Package strict decodes YAML and refuses what it does not know, naming the line and the field of each fault.
package strict
