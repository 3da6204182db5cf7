package jhttp

// MaxResponseHead is the maximum size of the head of a response, in bytes. The default of net/http would let a few upstreams that send header lines without end fill the memory of a small host.
const MaxResponseHead = 64 << 10
