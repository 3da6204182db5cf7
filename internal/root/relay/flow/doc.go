// Package flow runs the stages of a request, forwards the request to an upstream, and sends the caller exactly one response.
package flow
