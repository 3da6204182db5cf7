// Package forms serves the operators' web console. Each form edits one entity; a save checks the whole document and shows the difference before it is committed.
package forms
