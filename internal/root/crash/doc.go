// Package crash identifies requests that crash the upstreams they run on and blocks them, without blocking the requests that ran on the same upstreams at the time.
package crash
