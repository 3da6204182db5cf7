// Package runner is a stand-in for upstreams: model engines, pools of workers and plain services.
package runner
