package burn

import "time"

// Severity says how urgent a burn is.
type Severity string

// The severities: none, one for working hours and one that cannot wait.
const (
	Calm   Severity = "calm"
	Ticket Severity = "ticket"
	Page   Severity = "page"
)

// rule alerts if both windows burn faster than the rate, as in chapter 5 of The Site Reliability Workbook.
type rule struct {
	severity Severity
	long     time.Duration
	short    time.Duration
	rate     float64
}

func rules() []rule {
	return []rule{
		{
			severity: Page,
			long:     time.Hour,
			short:    5 * time.Minute,
			rate:     14.4,
		},
		{
			severity: Ticket,
			long:     6 * time.Hour,
			short:    30 * time.Minute,
			rate:     6,
		},
	}
}

// Window is the burn of one window.
type Window struct {
	Minutes int     `json:"minutes"`
	Good    int64   `json:"good"`
	Bad     int64   `json:"bad"`
	Rate    float64 `json:"rate"`
}

// Report is the burn of an objective over all windows, with the state of the alert.
type Report struct {
	Objective float64  `json:"objective"`
	Severity  Severity `json:"severity"`
	Windows   []Window `json:"windows"`
}

// Over returns the report at now.
func (m *Meter) Over(now time.Time, objective float64) Report {
	r := Report{
		Objective: objective,
		Severity:  Calm,
	}
	for _, u := range rules() {
		short := m.window(now, u.short, objective)
		long := m.window(now, u.long, objective)
		r.Windows = append(r.Windows, short, long)
		if r.Severity == Calm && short.Rate > u.rate && long.Rate > u.rate {
			r.Severity = u.severity
		}
	}
	return r
}

func (m *Meter) window(now time.Time, length time.Duration, objective float64) Window {
	good, bad := m.Sum(now, length)
	return Window{
		Minutes: int(length / time.Minute),
		Good:    good,
		Bad:     bad,
		Rate:    Rate(good, bad, objective),
	}
}
