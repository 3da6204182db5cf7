// Package opcli is the operators' client: one command a file over the operators' interface of the daemons.
package opcli
