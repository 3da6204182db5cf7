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
	return reportOf(objective, func(length time.Duration) (good, bad int64) { return m.Sum(now, length) })
}

// Joined returns the report over several hosts, by the objective of the first.
func Joined(hosts []Report) Report {
	if len(hosts) == 0 {
		return Report{
			Severity: Calm,
		}
	}
	return reportOf(hosts[0].Objective, func(length time.Duration) (good, bad int64) {
		for _, h := range hosts {
			for _, w := range h.Windows {
				if w.Minutes == minutes(length) {
					good += w.Good
					bad += w.Bad
				}
			}
		}
		return good, bad
	})
}

// reportOf applies the rules to what was counted in the windows.
func reportOf(objective float64, counted func(length time.Duration) (good, bad int64)) Report {
	r := Report{
		Objective: objective,
		Severity:  Calm,
	}
	window := func(length time.Duration) Window {
		good, bad := counted(length)
		return Window{
			Minutes: minutes(length),
			Good:    good,
			Bad:     bad,
			Rate:    Rate(good, bad, objective),
		}
	}
	for _, u := range rules() {
		short, long := window(u.short), window(u.long)
		r.Windows = append(r.Windows, short, long)
		if r.Severity == Calm && short.Rate > u.rate && long.Rate > u.rate {
			r.Severity = u.severity
		}
	}
	return r
}

func minutes(d time.Duration) int {
	return int(d / time.Minute)
}
