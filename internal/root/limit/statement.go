package limit

// minRate is the lowest rate that is used, in requests per second. An upstream that takes nothing is asked that often, as only its responses tell when that ends.
const minRate = 0.1

// Statement is what a response states of the limit of its upstream.
type Statement struct {
	// Known is false if the response names a limit that cannot be read, or is not the upstream's own.
	Known bool
	// Named reports that the response names a limit: PerSecond requests per second from all hosts together.
	Named     bool
	PerSecond float64
}

// Rate returns the number of requests per second to keep to, or 0 if the upstream names no limit.
func (s Statement) Rate() float64 {
	if !s.Named {
		return 0
	}
	return max(s.PerSecond, minRate)
}
