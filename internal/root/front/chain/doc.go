// Package chain runs a request through the stages of its pipeline. It sends each stage to upstreams, retries failed attempts and returns one outcome.
package chain
