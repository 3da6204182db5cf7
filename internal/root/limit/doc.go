// Package limit keeps to the request rates that upstreams name, over all hosts together.
package limit
