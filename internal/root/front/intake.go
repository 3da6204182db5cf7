package front

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/cornelwing/cornelwing/internal/common"
	"github.com/cornelwing/cornelwing/internal/root/watch"
	"github.com/cornelwing/cornelwing/pkg/config"
	"github.com/cornelwing/cornelwing/pkg/wire"
)

const bearer = "Bearer "

// notReadyRetry is when to come back to a host without a configuration.
const notReadyRetry = time.Second

// Intake checks a caller's request and turns it into an Ask.
type Intake struct {
	common.Deps
	holder      *watch.Holder
	maxBody     int64
	bodyTimeout time.Duration
}

// account returns the account whose token the caller shows, and the document that says so.
func (in *Intake) account(r *http.Request) (config.Account, config.Document, *wire.Problem) {
	if in.holder.Number() == 0 {
		p := wire.NewProblem(wire.KindNotReady, wire.NotRun, "the host has no configuration yet").WithRetry(notReadyRetry, "")
		return config.Account{}, config.Document{}, &p
	}
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), bearer)
	if ok {
		if a, doc, found := in.holder.Account(config.HashKey(token)); found {
			return a, doc, nil
		}
	}
	p := wire.NewProblem(wire.KindAccount, wire.NotRun, "Authorization must be Bearer and the token of a client account")
	return config.Account{}, config.Document{}, &p
}

// read checks the request whole; whatever is wrong is said before anything runs.
func (in *Intake) read(w http.ResponseWriter, r *http.Request) (Ask, *wire.Problem) {
	arrived := in.Now()
	account, doc, p := in.account(r)
	if p != nil {
		return Ask{}, p
	}
	a := Ask{
		ID:      newID(),
		Account: account,
		Arrived: arrived,
	}
	if err := a.readHeaders(r.Header); err != nil {
		return a, malformed(err.Error())
	}
	name := r.PathValue("pipeline")
	a.Pipeline, _ = doc.Pipeline(name)
	if a.Pipeline.Name == "" {
		return a, in.noPipeline(a, name)
	}
	for _, s := range a.Pipeline.Stages {
		pool, _ := doc.Pool(s.Pool)
		a.Pools = append(a.Pools, pool)
	}
	if p := in.readBody(w, r, &a); p != nil {
		return a, p
	}
	if p := a.readDeadline(r.Header); p != nil {
		return a, p
	}
	if !a.Idempotent() && a.Key == "" {
		p := wire.NewProblem(wire.KindKeyMissing, wire.NotRun, "a request that is not idempotent needs an Idempotency-Key")
		return a, &p
	}
	return a, nil
}

// noPipeline does not promise "not run" under a key: a host with another revision may have run the request.
func (in *Intake) noPipeline(a Ask, name string) *wire.Problem {
	p := wire.NewProblem(wire.KindNoPipeline, wire.NotRun, "there is no pipeline "+name)
	if a.Key != "" {
		p = p.WithOutcome(wire.Unknown)
	}
	return &p
}

func (a *Ask) readHeaders(h http.Header) error {
	var err error
	if a.Key, err = wire.Key(h); err != nil {
		return err
	}
	if a.Urgency, err = wire.Urgency(h); err != nil {
		return err
	}
	sends, err := wire.Attempts(h)
	if err != nil {
		return err
	}
	a.Resend = sends > 0
	return nil
}

func (a *Ask) readDeadline(h http.Header) *wire.Problem {
	wait, err := wire.Timeout(h)
	if err != nil {
		return malformed(err.Error())
	}
	limit := a.Pipeline.Deadline.D()
	if wait == 0 || wait > limit {
		wait = limit
	}
	a.Deadline = a.Arrived.Add(wait)
	return nil
}

func (in *Intake) readBody(w http.ResponseWriter, r *http.Request, a *Ask) *wire.Problem {
	if ct := r.Header.Get("Content-Type"); ct != "" && !strings.HasPrefix(ct, wire.TypeJSON) {
		return malformed("Content-Type must be application/json")
	}
	rc := http.NewResponseController(w)
	// A connection that cannot take a deadline is bounded by the server's own limits.
	_ = rc.SetReadDeadline(time.Now().Add(in.bodyTimeout))
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, in.maxBody))
	if err != nil {
		// The deadline stays, as the server would else wait for the rest of the body before it sends the refusal.
		w.Header().Set("Connection", "close")
	} else {
		_ = rc.SetReadDeadline(time.Time{})
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		p := wire.NewProblem(wire.KindTooLarge, wire.NotRun, "the body is larger than the host takes")
		return &p
	}
	if err != nil {
		return malformed("the body did not arrive whole in time")
	}
	if err := json.Unmarshal(data, &a.Body); err != nil {
		return malformed(err.Error())
	}
	a.BodyHash = hashOf(a.Pipeline.Name, string(data))
	return nil
}

func malformed(detail string) *wire.Problem {
	p := wire.NewProblem(wire.KindMalformed, wire.NotRun, detail)
	return &p
}
