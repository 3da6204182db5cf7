package hosts

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/cornelwing/cornelwing/internal/common"
	"github.com/cornelwing/cornelwing/internal/root/relay/batch"
	"github.com/cornelwing/cornelwing/internal/root/relay/send"
)

const (
	// dialTimeout bounds how long a peer may take to accept a connection.
	dialTimeout = 300 * time.Millisecond
	// pingEvery is how long a connection stays silent before it is pinged, and pingTimeout how long the answer may take.
	pingEvery   = 400 * time.Millisecond
	pingTimeout = 500 * time.Millisecond
	// probeTimeout bounds the probe of a host that is down.
	probeTimeout = 400 * time.Millisecond
	// maxOwners is how many hosts are asked for the same work.
	maxOwners = 3
	maxBody   = 1 << 20
	typeJSON  = "application/json"
)

// Paths of the interface between hosts.
const (
	pathWork  = "/work"
	pathFree  = "/free"
	pathProbe = "/probe"
)

// Local runs the queues of this host.
type Local interface {
	Do(ctx context.Context, w batch.Work) batch.Outcome
	Free(pool string, handles []string)
}

// answer is what a host says of work, of which one field is set.
type answer struct {
	Handles []string     `json:"handles,omitempty"`
	Domain  string       `json:"domain,omitempty"`
	AfterMS int64        `json:"after_ms,omitempty"`
	Reason  batch.Reason `json:"reason,omitempty"`
}

func answerOf(o batch.Outcome) answer {
	switch o := o.(type) {
	case batch.Made:
		return answer{
			Handles: o.Handles,
			Domain:  o.Domain,
		}
	case batch.Refused:
		return answer{
			AfterMS: max(1, o.After.Milliseconds()),
		}
	case batch.Failed:
		return answer{
			Reason: o.Reason,
		}
	default:
		panic(fmt.Sprintf("unknown outcome %T", o))
	}
}

func (a answer) outcome() batch.Outcome {
	switch {
	case len(a.Handles) > 0:
		return batch.Made{
			Handles: a.Handles,
			Domain:  a.Domain,
		}
	case a.AfterMS > 0:
		return batch.Refused{
			After: time.Duration(a.AfterMS) * time.Millisecond,
		}
	default:
		return batch.Failed{
			Reason: a.Reason,
		}
	}
}

// release names results that are no longer needed.
type release struct {
	Pool    string   `json:"pool"`
	Handles []string `json:"handles"`
}

// Peers sends work to the hosts that batch it, and takes work from others.
type Peers struct {
	common.Deps
	roster *Roster
	local  Local
	addr   string
	http   *http.Client
}

// NewPeers returns a part that listens to peers on the address.
func NewPeers(deps common.Deps, addr string, roster *Roster, local Local) *Peers {
	return &Peers{
		Deps:   deps.WithPart("peers"),
		roster: roster,
		local:  local,
		addr:   addr,
		http: &http.Client{
			Transport: &http.Transport{
				DialContext: send.Dialer(dialTimeout).DialContext,
				Protocols:   onlyHTTP2(),
				HTTP2: &http.HTTP2Config{
					SendPingTimeout: pingEvery,
					PingTimeout:     pingTimeout,
				},
			},
		},
	}
}

// onlyHTTP2 is one connection for each peer, whose pings tell when the peer has fallen silent.
func onlyHTTP2() *http.Protocols {
	var p http.Protocols
	p.SetUnencryptedHTTP2(true)
	return &p
}

// Name is the part's name in the supervision tree.
func (p *Peers) Name() string {
	return "peers"
}

// Run listens to peers and probes those that are down, until ctx ends.
func (p *Peers) Run(ctx context.Context, up func()) error {
	var lc net.ListenConfig
	ln, err := lc.Listen(ctx, "tcp", p.addr)
	if err != nil {
		return fmt.Errorf("listen to peers: %w", err)
	}
	srv := &http.Server{
		Handler:   p.handler(),
		Protocols: onlyHTTP2(),
		HTTP2: &http.HTTP2Config{
			SendPingTimeout: 2 * pingEvery,
			PingTimeout:     pingTimeout,
		},
	}
	failed := make(chan error, 1)
	go func() { failed <- srv.Serve(ln) }()
	up()
	ticker := time.NewTicker(probeEvery)
	defer ticker.Stop()
	for {
		select {
		case err := <-failed:
			return fmt.Errorf("serve peers: %w", err)
		case <-ctx.Done():
			return srv.Close()
		case <-ticker.C:
			p.probe(ctx)
		}
	}
}

func (p *Peers) probe(ctx context.Context) {
	for _, h := range p.roster.Due() {
		go func() {
			ctx, cancel := context.WithTimeout(ctx, probeTimeout)
			defer cancel()
			p.roster.Probed(h, p.post(ctx, h, pathProbe, struct{}{}, nil) == nil)
		}()
	}
}

func (p *Peers) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+pathWork, p.work)
	mux.HandleFunc("POST "+pathFree, p.free)
	mux.HandleFunc("POST "+pathProbe, func(http.ResponseWriter, *http.Request) {})
	return mux
}

func (p *Peers) work(w http.ResponseWriter, r *http.Request) {
	var work batch.Work
	if !read(w, r, &work) {
		return
	}
	o := p.local.Do(r.Context(), work)
	if made, ok := o.(batch.Made); ok && r.Context().Err() != nil {
		p.local.Free(work.Pool, made.Handles)
		return
	}
	w.Header().Set("Content-Type", typeJSON)
	// A peer that has gone away needs no answer: its results expire.
	_ = json.NewEncoder(w).Encode(answerOf(o))
}

func (p *Peers) free(w http.ResponseWriter, r *http.Request) {
	var x release
	if read(w, r, &x) {
		p.local.Free(x.Pool, x.Handles)
	}
}

func read(w http.ResponseWriter, r *http.Request, into any) bool {
	if err := json.NewDecoder(io.LimitReader(r.Body, maxBody)).Decode(into); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// Do sends the work to the host that batches for its pool, and to the next one where that is down.
func (p *Peers) Do(ctx context.Context, w batch.Work) (batch.Outcome, func()) {
	began := p.Now()
	for range maxOwners {
		owner, down := p.roster.Owner(w.Pool)
		if owner.Name == p.Host {
			break
		}
		o, err := p.remote(ctx, owner, down, w)
		if err == nil {
			return o, p.freer(owner, w.Pool, o)
		}
		if ctx.Err() != nil {
			return batch.Failed{
				Reason: batch.Late,
			}, nil
		}
		p.roster.Down(owner, err)
		spent := p.Now().Sub(began)
		began = began.Add(spent)
		w.OnTime -= spent
		w.Last -= spent
	}
	o := p.local.Do(ctx, w)
	return o, p.freer(p.roster.self, w.Pool, o)
}

// freer returns the function that gives up what the work made, or nil.
func (p *Peers) freer(owner Host, pool string, o batch.Outcome) func() {
	made, ok := o.(batch.Made)
	if !ok {
		return nil
	}
	if owner.Name == p.Host {
		return func() { p.local.Free(pool, made.Handles) }
	}
	return func() { go p.freeAt(owner, pool, made.Handles) }
}

// Release gives up results of a pool at the host that batches for it.
func (p *Peers) Release(pool string, handles []string) {
	owner, _ := p.roster.Owner(pool)
	if owner.Name == p.Host {
		p.local.Free(pool, handles)
		return
	}
	p.freeAt(owner, pool, handles)
}

func (p *Peers) freeAt(owner Host, pool string, handles []string) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	body := release{
		Pool:    pool,
		Handles: handles,
	}
	if err := p.post(ctx, owner, pathFree, body, nil); err != nil {
		p.Log.WithError(err).WithField("host", owner.Name).Info("Results were not freed. They expire by themselves.")
	}
}

func (p *Peers) remote(ctx context.Context, owner Host, down <-chan struct{}, w batch.Work) (batch.Outcome, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-down:
			cancel()
		case <-ctx.Done():
		}
	}()
	var a answer
	if err := p.post(ctx, owner, pathWork, w, &a); err != nil {
		return nil, fmt.Errorf("give work to its owner: %w", err)
	}
	return a.outcome(), nil
}

func (p *Peers) post(ctx context.Context, h Host, path string, body, into any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return fmt.Errorf("encode message: %w", err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+h.Addr+path, bytes.NewReader(data))
	if err != nil {
		return fmt.Errorf("make message: %w", err)
	}
	resp, err := p.http.Do(req)
	if err != nil {
		return fmt.Errorf("send to host %s: %w", h.Name, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("host %s answered %d", h.Name, resp.StatusCode)
	}
	if into == nil {
		return nil
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxBody)).Decode(into); err != nil {
		return fmt.Errorf("decode answer of host %s: %w", h.Name, err)
	}
	return nil
}
