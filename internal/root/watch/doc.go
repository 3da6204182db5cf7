// Package watch manages the configuration of the host. It commits changes, follows the newest revision and never returns to an older one.
package watch
