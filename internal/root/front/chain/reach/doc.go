// Package reach sends one attempt of a stage to an upstream over HTTP and reports how the attempt ended.
package reach
