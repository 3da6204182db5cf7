package burn

import "time"

// Severity is how soon an alert needs a response.
type Severity string

// SeverityNone means that there is no alert, SeverityTicket that the alert can wait for working hours, and SeverityPage that it needs an immediate response.
const (
	SeverityNone   Severity = "calm"
	SeverityTicket Severity = "ticket"
	SeverityPage   Severity = "page"
)

// rule raises an alert if the burn rates of both windows exceed rate, as in chapter 5 of The Site Reliability Workbook.
type rule struct {
	severity Severity
	long     time.Duration
	short    time.Duration
	rate     float64
}

// rules returns the alert rules, the most severe first.
func rules() []rule {
	return []rule{
		{
			severity: SeverityPage,
			long:     time.Hour,
			short:    5 * time.Minute,
			rate:     14.4,
		},
		{
			severity: SeverityTicket,
			long:     6 * time.Hour,
			short:    30 * time.Minute,
			rate:     6,
		},
	}
}

// Window holds the request counts and the burn rate of one time window.
type Window struct {
	Minutes int     `json:"minutes"`
	Good    int64   `json:"good"`
	Bad     int64   `json:"bad"`
	Rate    float64 `json:"rate"`
}

// Report holds the burn rates of an objective over all windows, and the severity of the alert.
type Report struct {
	Objective float64  `json:"objective"`
	Severity  Severity `json:"severity"`
	Windows   []Window `json:"windows"`
}

// ReportAt returns the report for the windows that end at the time now.
func (m *Meter) ReportAt(now time.Time, objective float64) Report {
	return reportOf(objective, func(length time.Duration) (good, bad int64) { return m.Sum(now, length) })
}

// MergeReports merges the reports of several hosts into one. It uses the objective of the first.
func MergeReports(hosts []Report) Report {
	if len(hosts) == 0 {
		return Report{
			Severity: SeverityNone,
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

// reportOf applies the rules to the request counts that sum returns for each window length.
func reportOf(objective float64, sum func(length time.Duration) (good, bad int64)) Report {
	r := Report{
		Objective: objective,
		Severity:  SeverityNone,
	}
	window := func(length time.Duration) Window {
		good, bad := sum(length)
		return Window{
			Minutes: minutes(length),
			Good:    good,
			Bad:     bad,
			Rate:    Rate(good, bad, objective),
		}
	}
	for _, a := range rules() {
		short, long := window(a.short), window(a.long)
		r.Windows = append(r.Windows, short, long)
		if r.Severity == SeverityNone && short.Rate > a.rate && long.Rate > a.rate {
			r.Severity = a.severity
		}
	}
	return r
}

func minutes(d time.Duration) int {
	return int(d / time.Minute)
}
