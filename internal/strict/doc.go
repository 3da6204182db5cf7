// Package strict decodes YAML and rejects unknown keys, duplicate keys and invalid values; each fault names its line and field.
package strict
