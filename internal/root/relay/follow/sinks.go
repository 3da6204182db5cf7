package follow

// Sinks hands the rows of one table to several sinks, in their order.
type Sinks []Sink

// Reset replaces the contents of each sink.
func (s Sinks) Reset(rows []Row) {
	for _, sink := range s {
		sink.Reset(rows)
	}
}

// Restore merges the rows of a restored table into each sink.
func (s Sinks) Restore(rows []Row) {
	for _, sink := range s {
		sink.Restore(rows)
	}
}

// Apply applies changed rows to each sink.
func (s Sinks) Apply(rows []Row) {
	for _, sink := range s {
		sink.Apply(rows)
	}
}
