// Package model simulates the stages of a deployment in virtual time: callers, hosts, the queues of the pools, workers and engines. Queues and the planning of stages are the product's own (packages batch and graph); callers, workers and engines are models, without a network.
package model
