// Package batch joins the pieces of many requests into calls to workers: which pieces go first, to which worker, and which requests are refused at once.
package batch
