// Package bulk carries large contents between hosts in parts: compressed, named by their hash, kept while they arrive, and sent to few hosts at a time. It needs no network.
package bulk
