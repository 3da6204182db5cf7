package claim

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/cornelwing/cornelwing/internal/plat"
)

// ExpiryTable is the name of the table that lists the claims by expiry hour. A claim may be deleted once its expiry hour has passed.
const ExpiryTable = "claim_expiry"

// Retention is how long the outcome of a key is kept after the deadline. A request that is sent again later runs again.
const Retention = 48 * time.Hour

// newExpiryRow returns the expiry row of the record; its key is the hour, as Unix time in hours, and the claim's row key.
func newExpiryRow(r Record) plat.Put {
	return plat.Put{
		Table: ExpiryTable,
		Key:   fmt.Sprintf("%012d/%s", unixHour(r.Deadline.Add(Retention)), r.RowKey()),
		Value: []byte(`{}`),
	}
}

// ExpiryDue reports whether the hour in the key of an expiry row has passed.
func ExpiryDue(key string, now time.Time) bool {
	hour, _, _ := strings.Cut(key, "/")
	n, err := strconv.ParseInt(hour, 10, 64)
	return err == nil && n < unixHour(now)
}

// RowKeyFromExpiry extracts the claim's row key from the key of an expiry row.
func RowKeyFromExpiry(key string) string {
	_, claim, _ := strings.Cut(key, "/")
	return claim
}

// unixHour returns the number of whole hours since the Unix epoch.
func unixHour(t time.Time) int64 {
	return t.Unix() / int64(time.Hour/time.Second)
}
