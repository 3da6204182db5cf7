// Package graph plans the stages of one request: the times that they are expected to take, the time that each of them has, and when to start it. It decides only; package flow runs the stages.
package graph
