// Package flow takes one request through its stages and on to an upstream, and gives the caller its one answer.
package flow
