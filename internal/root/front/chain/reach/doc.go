// Package reach sends one attempt of a stage to an upstream over HTTP and tells how it ended.
package reach
