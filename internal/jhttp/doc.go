// Package jhttp sends HTTP requests with JSON bodies and decodes JSON responses.
package jhttp
