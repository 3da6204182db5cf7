// Package loads caches the load reports of upstreams. A few hosts poll each upstream and share its reports with all others.
package loads
