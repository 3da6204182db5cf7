// Package warm keeps upstreams that have just started from getting more requests per second than they can take, over all hosts together.
package warm
