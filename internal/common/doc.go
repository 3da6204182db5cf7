// Package common holds the small struct of shared dependencies (logger, clock, identity) that every part embeds.
package common
