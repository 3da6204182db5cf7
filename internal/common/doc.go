// Package common holds the dependencies that every part of a daemon embeds (logger, clock, host identity) and small helpers that the programs share.
package common
