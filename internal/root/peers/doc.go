// Package peers replicates heartbeats, load reports and configuration between entry hosts by gossip over QUIC.
package peers
