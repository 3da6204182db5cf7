// Package claim keeps the record, in the table service, that lets a request run at most once over all hosts.
package claim
