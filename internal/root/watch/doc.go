// Package watch keeps the configuration in force: it accepts changes, follows the newest revision and never goes back.
package watch
