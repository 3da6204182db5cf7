// Package config defines the configuration document, its validation, and the revisions and deltas in which it is stored
// and distributed. The document is the only configuration that operators change while the system runs.
package config
