// Package jhttp sends calls whose bodies and answers are JSON.
package jhttp
