// Package room decides whether a request that needs several pools may begin, from what earlier requests have reserved of them.
package room
