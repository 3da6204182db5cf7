package claim

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/cornelwing/cornelwing/pkg/wire"
)

// TableName is the name of the table that holds the claims.
const TableName = "claims"

// State is the progress of a claimed request.
type State string

// The states of a claim. In state Started no call that must run at most once has been sent, and any host may close the claim after its deadline.
// From Sending on, only the host that holds the claim may close it.
const (
	Started State = "started"
	Sending State = "sending"
	Closed  State = "closed"
)

// ErrInvalidRecord is returned if a stored claim has missing or contradictory fields.
var ErrInvalidRecord = errors.New("invalid claim")

// Record is the claim of one idempotency key, with the outcome of the request once it is known.
type Record struct {
	Account string `json:"account"`
	Key     string `json:"key"`
	// Token identifies the attempt that wrote the claim, so that a host can distinguish its own write from that of another attempt.
	Token string `json:"token"`
	// BodyHash is a hash of the pipeline name and the body. A different hash shows that the key is reused for another request.
	BodyHash  string        `json:"body_hash"`
	RequestID string        `json:"request_id"`
	Pipeline  string        `json:"pipeline"`
	Host      string        `json:"host"`
	State     State         `json:"state"`
	Deadline  time.Time     `json:"deadline"`
	Answer    *wire.Answer  `json:"answer,omitempty"`
	Problem   *wire.Problem `json:"problem,omitempty"`
	// version is the version of the row that the record was last read from or written to.
	version int64
}

// UnmarshalJSON decodes a record. It checks that a closed record has either an answer or a problem, and an open record neither.
func (r *Record) UnmarshalJSON(b []byte) error {
	type plain Record
	var p plain
	if err := json.Unmarshal(b, &p); err != nil {
		return fmt.Errorf("decode claim: %w", err)
	}
	ended := p.Answer != nil || p.Problem != nil
	if p.Key == "" || p.Token == "" || (p.State == Closed) != ended || (p.Answer != nil && p.Problem != nil) {
		return fmt.Errorf("check claim %q: %w", p.Key, ErrInvalidRecord)
	}
	*r = Record(p)
	return nil
}

// RowKey returns the key of the record's row in the claims table.
func (r Record) RowKey() string {
	return RowKey(r.Account, r.Key)
}

// RowKey returns the row key for an idempotency key of the account.
func RowKey(account, key string) string {
	return account + "/" + key
}

// WithState returns a copy of the record in the given state.
func (r Record) WithState(s State) Record {
	r.State = s
	return r
}

// WithAnswer returns a copy of the record that is closed with the answer.
func (r Record) WithAnswer(a wire.Answer) Record {
	r.State = Closed
	r.Answer = &a
	r.Problem = nil
	return r
}

// WithProblem returns a copy of the record that is closed with the problem.
func (r Record) WithProblem(p wire.Problem) Record {
	r.State = Closed
	r.Problem = &p
	r.Answer = nil
	return r
}

// Verdict is the result of claiming a key: Acquired, Completed, Running or KeyReused.
type Verdict interface {
	verdict()
}

// Acquired means that the caller holds the claim. It carries the record as written.
type Acquired struct {
	Record Record
}

// Completed means that the key already has a final outcome. It carries the stored record.
type Completed struct {
	Record Record
}

// Running means that another attempt with the same key holds the claim and has not closed it.
type Running struct {
	Record Record
}

// KeyReused means that the key was claimed for a different request body.
type KeyReused struct{}

func (Acquired) verdict()  {}
func (Completed) verdict() {}
func (Running) verdict()   {}
func (KeyReused) verdict() {}
