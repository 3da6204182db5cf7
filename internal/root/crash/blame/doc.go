// Package blame finds what requests that crash upstreams have in common: a request as a whole, or a part of prompts that many requests share.
package blame
