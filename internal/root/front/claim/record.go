package claim

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/cornelwing/cornelwing/pkg/wire"
)

// TableName is the table that holds the claims.
const TableName = "claims"

// State is how far a claimed request has come.
type State string

// The states: while a request is started nothing that must run once was sent, and anyone may close it after its deadline;
// from sending on only its holder may.
const (
	Started State = "started"
	Sending State = "sending"
	Closed  State = "closed"
)

// ErrRecord reports a claim that cannot be read.
var ErrRecord = errors.New("claim is not valid")

// Record is the claim of one key, and its outcome once that is known.
type Record struct {
	Account string `json:"account"`
	Key     string `json:"key"`
	// Token is the writer's own mark, by which it tells its write from another's.
	Token string `json:"token"`
	// BodyHash tells a key that is used again for another request.
	BodyHash  string        `json:"body_hash"`
	RequestID string        `json:"request_id"`
	Pipeline  string        `json:"pipeline"`
	Host      string        `json:"host"`
	State     State         `json:"state"`
	Deadline  time.Time     `json:"deadline"`
	Answer    *wire.Answer  `json:"answer,omitempty"`
	Problem   *wire.Problem `json:"problem,omitempty"`
	// version is that of the row that the record was read from or written to.
	version int64
}

// UnmarshalJSON decodes a record and checks that a closed one has exactly one end.
func (r *Record) UnmarshalJSON(b []byte) error {
	type plain Record
	var p plain
	if err := json.Unmarshal(b, &p); err != nil {
		return fmt.Errorf("decode claim: %w", err)
	}
	ended := p.Answer != nil || p.Problem != nil
	if p.Key == "" || p.Token == "" || (p.State == Closed) != ended || (p.Answer != nil && p.Problem != nil) {
		return fmt.Errorf("check claim %q: %w", p.Key, ErrRecord)
	}
	*r = Record(p)
	return nil
}

// RowKey returns the key of the record's row.
func (r Record) RowKey() string {
	return RowKey(r.Account, r.Key)
}

// RowKey returns the row key of an account's idempotency key.
func RowKey(account, key string) string {
	return account + "/" + key
}

// WithState returns a copy in another state.
func (r Record) WithState(s State) Record {
	r.State = s
	return r
}

// WithAnswer returns a copy that is closed by an answer.
func (r Record) WithAnswer(a wire.Answer) Record {
	r.State = Closed
	r.Answer = &a
	r.Problem = nil
	return r
}

// WithProblem returns a copy that is closed by a problem.
func (r Record) WithProblem(p wire.Problem) Record {
	r.State = Closed
	r.Problem = &p
	r.Answer = nil
	return r
}

// Verdict is what a claim came to: Mine, Ended, Running or Reused.
type Verdict interface {
	verdict()
}

// Mine says that this writer holds the claim, with the record as it was written.
type Mine struct {
	Record Record
}

// Ended says that the key has a final outcome.
type Ended struct {
	Record Record
}

// Running says that another send of the key holds the claim and has not ended it.
type Running struct {
	Record Record
}

// Reused says that the key stands for another request body.
type Reused struct{}

func (Mine) verdict()    {}
func (Ended) verdict()   {}
func (Running) verdict() {}
func (Reused) verdict()  {}
