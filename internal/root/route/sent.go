package route

import "time"

// sentTimesSize is the number of sends to an upstream that are remembered.
const sentTimesSize = 16

// sentTimes is a ring of the times of this host's latest sends to an upstream.
type sentTimes struct {
	times [sentTimesSize]time.Time
	count int
}

// add records a send.
func (s *sentTimes) add(now time.Time) {
	s.times[s.count%sentTimesSize] = now
	s.count++
}

// since returns how many of the remembered sends are later than the given time.
func (s *sentTimes) since(at time.Time) int {
	n := 0
	for n < min(s.count, sentTimesSize) && s.times[(s.count-1-n)%sentTimesSize].After(at) {
		n++
	}
	return n
}
