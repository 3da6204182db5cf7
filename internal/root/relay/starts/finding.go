package starts

// Finding is what was found out about the process at the address of an upstream: Same, Other, Unstated or Unreachable.
type Finding interface {
	finding()
}

// Same reports that the process is the start of the upstream that its row describes.
type Same struct{}

// Other reports that the process is another start, so that the row says nothing of it.
type Other struct {
	// StartedAtMS is when the process started, in milliseconds since the Unix epoch by its own clock.
	StartedAtMS int64
}

// Unstated reports that the row or the process does not state a start, so that they cannot be compared.
type Unstated struct{}

// Unreachable reports that the process did not answer, or with what can't be read.
type Unreachable struct {
	Err error
}

func (Same) finding()        {}
func (Other) finding()       {}
func (Unstated) finding()    {}
func (Unreachable) finding() {}
