package claim

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/cornelwing/cornelwing/internal/plat"
)

// ExpiryTable is the table that names the claims by the hour in which they may be deleted.
const ExpiryTable = "claim_expiry"

// Retention is how long after its deadline a key keeps its outcome; sent again later it would run again.
const Retention = 48 * time.Hour

// expiryPut returns the row that names the record among those of its hour.
func expiryPut(r Record) plat.Put {
	return plat.Put{
		Table: ExpiryTable,
		Key:   fmt.Sprintf("%012d/%s", hourOf(r.Deadline.Add(Retention)), r.RowKey()),
		Value: []byte(`{}`),
	}
}

// Due reports whether the hour of an expiry row has passed.
func Due(key string, now time.Time) bool {
	hour, _, _ := strings.Cut(key, "/")
	n, err := strconv.ParseInt(hour, 10, 64)
	return err == nil && n < hourOf(now)
}

// ExpiryClaim returns the row key of the claim that an expiry row names.
func ExpiryClaim(key string) string {
	_, claim, _ := strings.Cut(key, "/")
	return claim
}

func hourOf(t time.Time) int64 {
	return t.Unix() / int64(time.Hour/time.Second)
}
