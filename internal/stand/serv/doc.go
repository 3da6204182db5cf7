// Package serv is a stand-in for the servers of the users' platform: plain services, engines that stream events, and workers that run the pieces of stages.
package serv
