package front

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/cornelwing/cornelwing/internal/common"
	"github.com/cornelwing/cornelwing/internal/guard"
	"github.com/cornelwing/cornelwing/internal/root/watch"
	"github.com/cornelwing/cornelwing/internal/serve"
	"github.com/cornelwing/cornelwing/pkg/config"
	"github.com/cornelwing/cornelwing/pkg/wire"
)

const bearer = "Bearer "

// notReadyRetry is the retry delay in the response of a host without a configuration.
const notReadyRetry = time.Second

// noRoomRetry is the retry delay if there is no memory for a request.
const noRoomRetry = time.Second

// RequestReader authenticates and validates HTTP requests and converts them to a PipelineRequest.
type RequestReader struct {
	common.Deps
	active      *watch.Active
	maxBody     int64
	bodyTimeout time.Duration
}

// account returns the account that the caller's bearer token belongs to, and the configuration document that defines it.
func (rr *RequestReader) account(r *http.Request) (config.Account, config.Document, *wire.Problem) {
	if rr.active.Number() == 0 {
		p := wire.NewProblem(wire.KindNotReady, wire.NotRun, "the host has no configuration yet").WithRetry(notReadyRetry, "")
		return config.Account{}, config.Document{}, &p
	}
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), bearer)
	if ok {
		if a, doc, found := rr.active.Account(config.HashToken(token)); found {
			return a, doc, nil
		}
	}
	p := wire.NewProblem(wire.KindAccount, wire.NotRun, "Authorization must be Bearer and the token of a client account")
	return config.Account{}, config.Document{}, &p
}

// read authenticates and validates the complete request, so that an invalid one is rejected before anything runs.
// If it returns a problem, the returned request holds only the fields that were set before the problem was found.
func (rr *RequestReader) read(w http.ResponseWriter, r *http.Request) (PipelineRequest, *wire.Problem) {
	arrived := rr.Now()
	account, doc, p := rr.account(r)
	if p != nil {
		return PipelineRequest{}, p
	}
	req := PipelineRequest{
		ID:      newID(),
		Account: account,
		Arrived: arrived,
	}
	if err := req.readHeaders(r.Header); err != nil {
		return req, malformedProblem(err.Error())
	}
	name := r.PathValue("pipeline")
	req.Pipeline, _ = doc.Pipeline(name)
	if req.Pipeline.Name == "" {
		return req, rr.noPipelineProblem(req, name)
	}
	for _, s := range req.Pipeline.Stages {
		pool, _ := doc.Pool(s.Pool)
		req.Pools = append(req.Pools, pool)
	}
	if p := rr.readBody(w, r, &req); p != nil {
		return req, p
	}
	if p := req.readDeadline(r.Header); p != nil {
		return req, p
	}
	if !req.Idempotent() && req.Key == "" {
		p := wire.NewProblem(wire.KindKeyMissing, wire.NotRun, "a request that is not idempotent needs an Idempotency-Key")
		return req, &p
	}
	return req, nil
}

// noPipelineProblem returns the problem for an unknown pipeline. For a request with an idempotency key the outcome is "unknown"
// rather than "not run", because a host with another configuration revision may have run the request.
func (rr *RequestReader) noPipelineProblem(req PipelineRequest, name string) *wire.Problem {
	p := wire.NewProblem(wire.KindNoPipeline, wire.NotRun, "there is no pipeline "+name)
	if req.Key != "" {
		p = p.WithOutcome(wire.Unknown)
	}
	return &p
}

// readHeaders sets Key, Urgency and Retried from the headers. The text of its error is sent to the caller.
func (req *PipelineRequest) readHeaders(h http.Header) error {
	var err error
	if req.Key, err = wire.Key(h); err != nil {
		return err
	}
	if req.Urgency, err = wire.Urgency(h); err != nil {
		return err
	}
	attempts, err := wire.Attempts(h)
	if err != nil {
		return err
	}
	req.Retried = attempts > 0
	return nil
}

// readDeadline sets the deadline to the arrival time plus the caller's timeout. The timeout is limited to the deadline of the pipeline, which also applies if the caller gives no timeout.
func (req *PipelineRequest) readDeadline(h http.Header) *wire.Problem {
	timeout, err := wire.Timeout(h)
	if err != nil {
		return malformedProblem(err.Error())
	}
	limit := req.Pipeline.Deadline.D()
	if timeout == 0 || timeout > limit {
		timeout = limit
	}
	req.Deadline = req.Arrived.Add(timeout)
	return nil
}

// readBody reads and decodes the body within bodyTimeout, and sets the body hash.
func (rr *RequestReader) readBody(w http.ResponseWriter, r *http.Request, req *PipelineRequest) *wire.Problem {
	if ct := r.Header.Get("Content-Type"); ct != "" && !strings.HasPrefix(ct, wire.TypeJSON) {
		return malformedProblem("Content-Type must be application/json")
	}
	rc := http.NewResponseController(w)
	// If the connection does not support deadlines, the limits of the server apply.
	_ = rc.SetReadDeadline(time.Now().Add(rr.bodyTimeout))
	data, err := guard.ReadBody(http.MaxBytesReader(w, r.Body, rr.maxBody), r.ContentLength, serve.ClaimOf(r))
	if err != nil {
		// The read deadline is kept. Without it the server would wait for the rest of the body before it sends the response.
		w.Header().Set("Connection", "close")
	} else {
		_ = rc.SetReadDeadline(time.Time{})
	}
	if errors.Is(err, guard.ErrNoRoom) {
		return noRoomProblem(req)
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		p := wire.NewProblem(wire.KindTooLarge, wire.NotRun, "the body is larger than the host takes")
		return &p
	}
	if err != nil {
		return malformedProblem("the body did not arrive whole in time")
	}
	if err := json.Unmarshal(data, &req.Body); err != nil {
		return malformedProblem(err.Error())
	}
	req.BodyHash = hashOf(req.Pipeline.Name, string(data))
	return nil
}

// noRoomProblem returns the problem for a request whose body finds no memory. For a request with an idempotency key the outcome is "unknown"
// rather than "not run", because an earlier send of it may run.
func noRoomProblem(req *PipelineRequest) *wire.Problem {
	p := wire.NewProblem(wire.KindOverload, wire.NotRun, "no memory for the body now").WithRetry(noRoomRetry, "")
	if req.Key != "" {
		p = p.WithOutcome(wire.Unknown).WithRetry(noRoomRetry, wire.RetrySameKey)
	}
	return &p
}

func malformedProblem(detail string) *wire.Problem {
	p := wire.NewProblem(wire.KindMalformed, wire.NotRun, detail)
	return &p
}
