package hosts

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/cornelwing/cornelwing/internal/common"
	"github.com/cornelwing/cornelwing/internal/jhttp"
	"github.com/cornelwing/cornelwing/internal/root/relay/follow"
)

const (
	// pathTable is the path of a question for the rows of a table.
	pathTable = "/table"
	// maxTellWait bounds how long another host may have its question wait for changes.
	maxTellWait = 30 * time.Second
	// rosterWait is how long a host that starts waits for the table of hosts before it reads other tables, and rosterPoll the time between two looks.
	rosterWait = 300 * time.Millisecond
	rosterPoll = 5 * time.Millisecond
)

// errTableMessage is returned for a message on a table with figures that cannot be true.
var errTableMessage = errors.New("message on a table is not valid")

// tableState tells whether a host can answer a question for a table.
type tableState string

const (
	// tableFollowed means that the host reads the table from the store.
	tableFollowed tableState = "followed"
	// tableFailing means that it does so, but that its last call failed.
	tableFailing tableState = "failing"
	// tableNotFollowed means that it reads the table from another host, or has not read it yet.
	tableNotFollowed tableState = "not_followed"
	// tableHeard means that the host tells what it knows although it does not read the table from the store at present. It is said only to hosts that ask for it.
	tableHeard tableState = "heard"
)

// tableQuestion asks for the whole table, or for what changed after a version of an era.
type tableQuestion struct {
	Table string `json:"table"`
	Whole bool   `json:"whole,omitempty"`
	// Era is nil if the store states none.
	Era    *int64 `json:"era,omitempty"`
	After  int64  `json:"after"`
	WaitMS int64  `json:"wait_ms"`
	// AgeMS is how old the knowledge of the host that asks is, or nil if it has none.
	AgeMS *int64 `json:"age_ms,omitempty"`
	// Heard asks for what the host knows from whomever, at once, if the store has confirmed it more recently than what the asking host knows.
	Heard bool `json:"heard,omitempty"`
	// Late reports that what the host knows should have been renewed by now, so that it wants to know at once if the other one is reading many rows. A host of an older build does not state it.
	Late bool `json:"late,omitempty"`
	// Parcels reports that the host that asks understands parcels, and From is its name. A host of an older build states neither.
	Parcels bool   `json:"parcels,omitempty"`
	From    string `json:"from,omitempty"`
}

// UnmarshalJSON decodes a question and checks its figures.
func (q *tableQuestion) UnmarshalJSON(b []byte) error {
	type plain tableQuestion
	var p plain
	if err := json.Unmarshal(b, &p); err != nil {
		return fmt.Errorf("decode question: %w", err)
	}
	if p.Table == "" || p.WaitMS < 0 || (p.AgeMS != nil && *p.AgeMS < 0) {
		return fmt.Errorf("check question: %w", errTableMessage)
	}
	*q = tableQuestion(p)
	return nil
}

// after returns the position after which changes are asked for.
func (q tableQuestion) after() follow.Position {
	return follow.Position{
		Era:     eraOf(q.Era),
		Version: q.After,
	}
}

// wait returns how long the question may wait for an answer.
func (q tableQuestion) wait() time.Duration {
	return time.Duration(min(q.WaitMS, maxTellWait.Milliseconds())) * time.Millisecond
}

// tableRow is a row of a table.
type tableRow struct {
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Deleted bool   `json:"deleted,omitempty"`
}

// tableAnswer holds rows of a table and how old the responding host's knowledge is.
type tableAnswer struct {
	State tableState `json:"state"`
	Era   *int64     `json:"era,omitempty"`
	// Version is the version up to which the host knows all changes.
	Version int64 `json:"version"`
	// Truncated is set if the host cannot tell the changes, so that the whole table must be read.
	Truncated bool `json:"truncated,omitempty"`
	// Reading is set while the host reads many rows from the store, which it cannot tell yet.
	Reading bool       `json:"reading,omitempty"`
	Rows    []tableRow `json:"rows,omitempty"`
	// parcel holds the rows instead if they are many, and the other host understands that.
	parcel
	// HeldMS is the time since the question arrived, and AgeMS the time since the call by which the store confirmed the rows.
	HeldMS int64 `json:"held_ms"`
	AgeMS  int64 `json:"age_ms"`
}

// UnmarshalJSON decodes an answer and checks it.
func (a *tableAnswer) UnmarshalJSON(b []byte) error {
	type plain tableAnswer
	var p plain
	if err := json.Unmarshal(b, &p); err != nil {
		return fmt.Errorf("decode answer: %w", err)
	}
	if err := tableAnswer(p).checkRows(); err != nil {
		return err
	}
	if p.State == "" || p.Version < 0 || p.HeldMS < 0 || p.AgeMS < 0 {
		return fmt.Errorf("check answer: %w", errTableMessage)
	}
	*a = tableAnswer(p)
	return nil
}

// hasRows reports whether the answer holds rows, or a parcel with rows.
func (a tableAnswer) hasRows() bool {
	return len(a.Rows) > 0 || !a.parcel.empty()
}

// checkRows returns an error if a row has no key.
func (a tableAnswer) checkRows() error {
	for _, r := range a.Rows {
		if r.Key == "" {
			return fmt.Errorf("check answer: row without a key: %w", errTableMessage)
		}
	}
	return nil
}

// position returns the position up to which the responding host knows all changes.
func (a tableAnswer) position() follow.Position {
	return follow.Position{
		Era:     eraOf(a.Era),
		Version: a.Version,
	}
}

// rows returns the rows in the form that feeds use.
func (a tableAnswer) rows() []follow.Row {
	out := make([]follow.Row, 0, len(a.Rows))
	for _, r := range a.Rows {
		out = append(out, follow.Row(r))
	}
	return out
}

func tableRows(rows []follow.Row) []tableRow {
	out := make([]tableRow, 0, len(rows))
	for _, r := range rows {
		out = append(out, tableRow(r))
	}
	return out
}

// eraOf returns the era with the number, or an unknown one for nil.
func eraOf(number *int64) follow.Era {
	if number == nil {
		return follow.Era{}
	}
	return follow.EraOf(*number)
}

// eraNumber is the reverse of eraOf.
func eraNumber(e follow.Era) *int64 {
	number, known := e.Number()
	if !known {
		return nil
	}
	return &number
}

// Tables are the tables of the platform's store that few hosts of each failure domain read from it. The others read them from these hosts.
type Tables struct {
	common.Deps
	peers *Peers
	eras  *follow.Eras
	// sinceBoot returns the time since boot, including suspension.
	sinceBoot func() time.Duration
	// post sends a message to another host, and returns how long the body of the response took to arrive.
	post   func(ctx context.Context, h Host, path string, timeouts jhttp.Timeouts, body, into any) (transfer time.Duration, err error)
	byName map[string]*Table
	// random is the source of the seeds of the tables.
	random *rand.Rand
	// shared reports that hosts that are not among the few do not read the store.
	shared bool
}

// TablesOption configures Tables under construction.
type TablesOption func(*Tables)

// WithSharedReads sets whether only few hosts of each failure domain read the store. Without it every host does, and tells those that ask.
func WithSharedReads(shared bool) TablesOption {
	return func(t *Tables) {
		t.shared = shared
	}
}

// WithRandom sets the source of the seeds from which the tables draw their pauses.
func WithRandom(random *rand.Rand) TablesOption {
	return func(t *Tables) {
		t.random = random
	}
}

// NewTables returns an empty set of tables. It must be called before peers runs.
func NewTables(deps common.Deps, peers *Peers, eras *follow.Eras, sinceBoot func() time.Duration, opts ...TablesOption) *Tables {
	t := &Tables{
		Deps:      deps.WithPart("tables"),
		peers:     peers,
		eras:      eras,
		sinceBoot: sinceBoot,
		post:      peers.call,
		byName:    map[string]*Table{},
		random:    rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
	for _, o := range opts {
		o(t)
	}
	peers.services = append(peers.services, t)
	return t
}

func (t *Tables) registerHandlers(mux *http.ServeMux) {
	mux.HandleFunc("POST "+pathTable, func(w http.ResponseWriter, r *http.Request) {
		var q tableQuestion
		if !decodeBody(w, r, &q) {
			return
		}
		table, ok := t.byName[q.Table]
		if !ok {
			http.NotFound(w, r)
			return
		}
		writeJSON(w, table.pack(q, table.tell(r.Context(), q)))
	})
}

// awaitRoster waits for a while until the table of hosts has been read, as a host that knows no other has to read the store.
func (t *Tables) awaitRoster(ctx context.Context) {
	for end := t.Now().Add(rosterWait); !t.peers.roster.Loaded() && t.Now().Before(end); {
		if !common.Sleep(ctx, rosterPoll) {
			return
		}
	}
}

// Stats returns what the metrics tell of each table, by name.
func (t *Tables) Stats() map[string]TableStats {
	out := map[string]TableStats{}
	for name, table := range t.byName {
		out[name] = table.stats()
	}
	return out
}
