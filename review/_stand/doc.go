// Command stand plays the cases of the review: it starts entry hosts as separate processes, with stand-ins for the platform, the servers and the clients in this process, and judges one rule from what these have seen.
package main
