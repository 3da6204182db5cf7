// Package starts finds out whether the process that answers at the address of an upstream is the one that its row describes.
package starts
