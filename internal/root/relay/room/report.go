package room

import (
	"math"
	"time"
)

// reportTTL is the age from which a report says nothing any more.
const reportTTL = 10 * time.Second

// Report is what the owner of a queue tells of it.
type Report struct {
	Queue string `json:"queue"`
	// Pace is the pace of its workers (see Pace).
	Pace float64 `json:"pace"`
	// Age is how old the report is.
	Age time.Duration `json:"age,omitempty"`
}

// valid reports whether the figures of the report can be used.
func (r Report) valid() bool {
	return r.Pace >= 0 && r.Pace <= 1 && r.Age >= 0 && r.Age < reportTTL
}

// Book holds the newest report of each queue. The zero value has none. It is not safe for concurrent use.
type Book struct {
	reports map[string]dated
}

// dated is a report and the time at which it was made.
type dated struct {
	Report
	at time.Time
}

// Record adds a report, unless its figures are impossible or a newer one of the queue is known.
func (b *Book) Record(now time.Time, r Report) {
	at := now.Add(-r.Age)
	if old, ok := b.reports[r.Queue]; !r.valid() || ok && !at.After(old.at) {
		return
	}
	if b.reports == nil {
		b.reports = map[string]dated{}
	}
	b.reports[r.Queue] = dated{
		Report: r,
		at:     at,
	}
}

// Reports returns what is known of the queues, with its age.
func (b *Book) Reports(now time.Time, queues []string) []Report {
	var out []Report
	for _, name := range queues {
		d, ok := b.reports[name]
		if !ok || now.Sub(d.at) >= reportTTL {
			continue
		}
		r := d.Report
		r.Age = now.Sub(d.at)
		out = append(out, r)
	}
	return out
}

// Pace returns the mean pace of the queues, which returns to 1 as reports get older.
func (b *Book) Pace(now time.Time, queues []string) float64 {
	if len(queues) == 0 {
		return 1
	}
	lack := 0.0
	for _, r := range b.Reports(now, queues) {
		lack += (1 - r.Pace) * math.Exp(-float64(r.Age)/float64(paceDecay))
	}
	return max(minPace, 1-lack/float64(len(queues)))
}
