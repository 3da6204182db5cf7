// Package opcli implements the commands of cornelwing, the operators' command-line client of the daemons.
package opcli
