// Package grant is the lease under which a host may serve keyed requests: it lapses unless the platform's store is heard.
package grant
