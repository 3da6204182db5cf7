package flow

import "time"

// Admission is the decision whether a request may be sent: Admitted or Rejected.
type Admission interface {
	admission()
}

// Admitted means that the request may be sent.
type Admitted struct {
	// Trial means that upstreams have crashed under a part of the request's prompt, and that this request shows whether they still do.
	Trial bool
}

// Rejected means that the request must not be sent.
type Rejected struct {
	Detail string
	// RetryAfter is the time after which a request like this one may be sent.
	RetryAfter time.Duration
}

func (Admitted) admission() {}
func (Rejected) admission() {}
