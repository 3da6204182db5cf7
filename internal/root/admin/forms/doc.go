// Package forms is the operators' console: forms whose every save is the one document, checked and shown as a difference first.
package forms
