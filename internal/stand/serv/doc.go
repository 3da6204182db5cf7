// Package serv is a stand-in for the servers of the users' platform: plain services, engines with streams, and workers on the pieces of stages.
package serv
