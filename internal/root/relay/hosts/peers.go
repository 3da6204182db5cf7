package hosts

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/cornelwing/cornelwing/internal/common"
	"github.com/cornelwing/cornelwing/internal/jhttp"
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
	// maxOwners is how many hosts are asked for the same work, the later ones after a pause, as hosts may differ for a moment in who owns a pool.
	maxOwners  = 8
	quickOwner = 3
	ownerPause = 20 * time.Millisecond
	// foreignOwners is the same for a queue of another failure domain, which may be cut off, and foreignAfter when to come back after that.
	foreignOwners = 2
	foreignAfter  = 200 * time.Millisecond
	maxBody       = 1 << 20
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
	Free(queue string, handles []string)
	// ReassignUnstarted ends the work that has not begun, in queues that this host does not own, so that their owners are asked.
	ReassignUnstarted(owns func(queue string) bool)
	// Shards returns the queues of a pool.
	Shards(pool string) []batch.Shard
}

// answer is what a host says of work, of which one field is set.
type answer struct {
	Handles []string     `json:"handles,omitempty"`
	Domain  string       `json:"domain,omitempty"`
	AfterMS int64        `json:"after_ms,omitempty"`
	Reason  batch.Reason `json:"reason,omitempty"`
	// Owner is the host to ask instead, and Leaving says that the one that answers is about to stop.
	Owner   *Host `json:"owner,omitempty"`
	Leaving bool  `json:"leaving,omitempty"`
}

func (p *Peers) answerOf(queue string, o batch.Outcome) answer {
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
	case batch.OwnerChanged:
		owner, _ := p.roster.Owner(queue)
		return answer{
			Owner:   &owner,
			Leaving: p.roster.Leaving(),
		}
	default:
		panic(fmt.Sprintf("unknown outcome %T", o))
	}
}

// outcome returns what became of the work; an answer that names an owner is none.
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

// Peers sends work to the hosts that batch it, and takes work from others.
type Peers struct {
	common.Deps
	roster *Roster
	local  Local
	addr   string
	http   *http.Transport
	picks  picker
	// crashes takes what other hosts tell of crashes; it is set before the part runs.
	crashes *Crashes
}

// NewPeers returns a part that listens to peers on the address.
func NewPeers(deps common.Deps, addr string, roster *Roster, local Local) *Peers {
	p := &Peers{
		Deps:   deps.WithPart("peers"),
		roster: roster,
		local:  local,
		addr:   addr,
		http: &http.Transport{
			DialContext: send.Dialer(dialTimeout).DialContext,
			Protocols:   onlyHTTP2(),
			HTTP2: &http.HTTP2Config{
				SendPingTimeout: pingEvery,
				PingTimeout:     pingTimeout,
			},
		},
	}
	roster.OnChange(p.handOver)
	return p
}

// handOver leaves to other hosts what is theirs to batch from now on.
func (p *Peers) handOver() {
	p.local.ReassignUnstarted(func(queue string) bool {
		owner, _ := p.roster.Owner(queue)
		return owner.Name == p.Host
	})
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
	if p.crashes != nil {
		mux.HandleFunc("POST "+pathCrashes, p.crashes.serve)
	}
	mux.HandleFunc("POST "+pathProbe, func(http.ResponseWriter, *http.Request) {})
	return mux
}

func (p *Peers) work(w http.ResponseWriter, r *http.Request) {
	var work batch.Work
	if !read(w, r, &work) {
		return
	}
	o := p.take(r.Context(), work)
	if made, ok := o.(batch.Made); ok && r.Context().Err() != nil {
		p.local.Free(work.Queue, made.Handles)
		return
	}
	w.Header().Set("Content-Type", jhttp.Type)
	// A peer that has gone away needs no answer: its results expire.
	_ = json.NewEncoder(w).Encode(p.answerOf(work.Queue, o))
}

// take runs a peer's work, unless another host is the owner as far as is known here.
func (p *Peers) take(ctx context.Context, w batch.Work) batch.Outcome {
	owner, _ := p.roster.Owner(w.Queue)
	if owner.Name != p.Host && (!w.ForceLocal || p.roster.Leaving()) {
		return batch.OwnerChanged{}
	}
	return p.local.Do(ctx, w)
}

func (p *Peers) free(w http.ResponseWriter, r *http.Request) {
	var x batch.Spent
	if read(w, r, &x) {
		p.local.Free(x.Queue, x.Handles)
	}
}

func read(w http.ResponseWriter, r *http.Request, into any) bool {
	if err := json.NewDecoder(io.LimitReader(r.Body, maxBody)).Decode(into); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}
