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
	"github.com/cornelwing/cornelwing/internal/root/place"
	"github.com/cornelwing/cornelwing/internal/root/relay/alive"
	"github.com/cornelwing/cornelwing/internal/root/relay/batch"
	"github.com/cornelwing/cornelwing/internal/root/relay/room"
	"github.com/cornelwing/cornelwing/internal/root/relay/send"
)

const (
	// dialTimeout is the timeout for connecting to a peer.
	dialTimeout = 300 * time.Millisecond
	// pingInterval is how long a connection to a peer is idle before it is pinged. The peer is lost if nothing has arrived from it for callerSilence on a connection that this host opened, or for serverSilence on one that the peer opened.
	pingInterval  = 400 * time.Millisecond
	callerSilence = 900 * time.Millisecond
	serverSilence = 1300 * time.Millisecond
	// probeTimeout is the timeout of the probe of a host that is down.
	probeTimeout = 400 * time.Millisecond
	// maxOwnerAttempts is how many hosts are tried for the same work, because hosts may disagree for a moment about the owner of a queue. The first quickOwnerAttempts are each followed by the next attempt at once, and later ones after ownerRetryPause.
	maxOwnerAttempts   = 8
	quickOwnerAttempts = 3
	ownerRetryPause    = 20 * time.Millisecond
	// remoteDomainAttempts is how many hosts are tried for a queue of another failure domain, which may be unreachable. If all of them fail, the work is refused, to be retried after remoteDomainRetryAfter.
	remoteDomainAttempts   = 2
	remoteDomainRetryAfter = 200 * time.Millisecond
	// maxBody and maxResponse bound a request and a response between hosts, in bytes. A response can hold a configuration.
	maxBody     = 1 << 20
	maxResponse = 8 << 20
)

// Paths of the HTTP interface between hosts.
const (
	pathWork  = "/work"
	pathFree  = "/free"
	pathProbe = "/probe"
)

// LocalQueues runs the queues of this host.
type LocalQueues interface {
	Do(ctx context.Context, w batch.Work) batch.Outcome
	Free(queue string, handles []string)
	// ReassignUnstarted ends the work that has not started in queues that this host does not own, so that it is sent to their owners.
	ReassignUnstarted(owns func(queue string) bool)
	// Shards returns the queues of a pool.
	Shards(pool string) []batch.Shard
	// Report returns what senders of work need to know of a queue of this host, RecordReport records it for a queue of any host, and WithReports adds what is known to work.
	Report(queue string) (r room.Report, ok bool)
	RecordReport(r room.Report)
	WithReports(w batch.Work, s batch.Shard) batch.Work
}

// workResponse is the response to a request to run work. It contains the handles and their domain, a delay after which to retry, the reason of a failure, or the owner of the queue.
type workResponse struct {
	Handles []string     `json:"handles,omitempty"`
	Domain  string       `json:"domain,omitempty"`
	AfterMS int64        `json:"after_ms,omitempty"`
	Reason  batch.Reason `json:"reason,omitempty"`
	// Owner is the host to send the work to instead, and Leaving is set if the responding host is about to stop.
	Owner   *Host `json:"owner,omitempty"`
	Leaving bool  `json:"leaving,omitempty"`
	// Report is about the queue. Hosts of an older build send none.
	Report *room.Report `json:"report,omitempty"`
}

func (p *Peers) responseFor(queue string, o batch.Outcome) workResponse {
	switch o := o.(type) {
	case batch.Completed:
		return workResponse{
			Handles: o.Handles,
			Domain:  o.Domain,
		}
	case batch.Refused:
		return workResponse{
			AfterMS: max(1, o.After.Milliseconds()),
		}
	case batch.Failed:
		return workResponse{
			Reason: o.Reason,
		}
	case batch.OwnerChanged:
		owner, _ := p.roster.Owner(queue)
		return workResponse{
			Owner:   &owner,
			Leaving: p.roster.Leaving(),
		}
	default:
		panic(fmt.Sprintf("unknown outcome %T", o))
	}
}

// outcome returns the outcome of work with so many pieces; it must not be called for a response that names an owner. Work is completed only by a handle for each piece.
func (a workResponse) outcome(pieces int) batch.Outcome {
	switch {
	case len(a.Handles) > 0 && len(a.Handles) < pieces:
		return batch.Failed{
			Reason: batch.ReasonWorkerFailed,
		}
	case len(a.Handles) > 0:
		return batch.Completed{
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

// Peers sends work to the hosts that own its queues, and accepts work from other hosts.
type Peers struct {
	common.Deps
	roster *Roster
	local  LocalQueues
	addr   string
	// http carries messages, and streams the tunnels on connections of their own, so that no message waits behind their bytes.
	http    *http.Transport
	streams *http.Transport
	server  *http.Server
	// calls sends the messages whose bodies are JSON, and loadShare adds load reports to some of them, if it is not nil.
	calls     http.RoundTripper
	loadShare *loadShare
	picker    batch.Picker
	// knowledge is what this host and the others tell each other after the store was restored; it is set before Run is called.
	knowledge Knowledge
	// domains are the regions of failure domains; they are set before Run is called.
	domains place.Domains
	// blocks carries large contents of messages.
	blocks *blocks
	// services handle the other messages of hosts; all are added before Run is called.
	services []peerService
}

// peerService handles a kind of messages from other hosts.
type peerService interface {
	registerHandlers(mux *http.ServeMux)
}

// NewPeers returns Peers that accept connections from other hosts on the address.
func NewPeers(deps common.Deps, addr string, roster *Roster, local LocalQueues) *Peers {
	p := &Peers{
		Deps:   deps.WithPart("peers"),
		roster: roster,
		local:  local,
		addr:   addr,
		server: &http.Server{
			Protocols: unencryptedHTTP2(),
			HTTP2: &http.HTTP2Config{
				SendPingTimeout: 2 * pingInterval,
			},
		},
		http:    newTransport(),
		streams: newTransport(),
	}
	p.useDialer(send.Dialer(dialTimeout).DialContext)
	p.calls = p.http
	p.blocks = newBlocks(p)
	p.services = append(p.services, p.blocks)
	roster.OnChange(p.reassignUnowned)
	return p
}

// newTransport returns a transport to other hosts without a dialer.
func newTransport() *http.Transport {
	return &http.Transport{
		MaxResponseHeaderBytes: jhttp.MaxResponseHead,
		Protocols:              unencryptedHTTP2(),
		HTTP2: &http.HTTP2Config{
			SendPingTimeout: pingInterval,
		},
	}
}

// reassignUnowned ends local work that has not started in queues that other hosts own now.
func (p *Peers) reassignUnowned() {
	p.local.ReassignUnstarted(func(queue string) bool {
		owner, _ := p.roster.Owner(queue)
		return owner.Name == p.Host
	})
}

// unencryptedHTTP2 selects HTTP/2 without TLS, so that there is one connection to each peer, on which pings make the peer send something while it is idle.
func unencryptedHTTP2() *http.Protocols {
	var p http.Protocols
	p.SetUnencryptedHTTP2(true)
	return &p
}

// Name returns the part's name in the supervision tree.
func (p *Peers) Name() string {
	return "peers"
}

// Run accepts connections from peers and probes the peers that are down, until ctx ends. It calls up once it is listening for peers.
func (p *Peers) Run(ctx context.Context, up func()) error {
	var lc net.ListenConfig
	ln, err := lc.Listen(ctx, "tcp", p.addr)
	if err != nil {
		return fmt.Errorf("listen for peers: %w", err)
	}
	p.server.Handler = p.handler()
	failed := make(chan error, 1)
	go func() { failed <- p.serve(ln) }()
	up()
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		select {
		case err := <-failed:
			return fmt.Errorf("serve peers: %w", err)
		case <-ctx.Done():
			return p.server.Close()
		case <-ticker.C:
			p.roster.forgetUnwritten()
			p.probeDown(ctx)
		}
	}
}

// serve accepts the messages of other hosts until the server is closed.
func (p *Peers) serve(ln net.Listener) error {
	if err := p.server.Serve(alive.Listen(ln, serverSilence)); err != nil {
		return fmt.Errorf("accept connections: %w", err)
	}
	return nil
}

// useDialer sets what opens connections to other hosts. It must be called before Run.
func (p *Peers) useDialer(dial alive.Dial) {
	p.http.DialContext = alive.Dialer(dial, callerSilence)
	p.streams.DialContext = p.http.DialContext
}

func (p *Peers) probeDown(ctx context.Context) {
	for _, h := range p.roster.DueProbes() {
		go func() {
			ctx, cancel := context.WithTimeout(ctx, probeTimeout)
			defer cancel()
			p.roster.RecordProbe(h, p.post(ctx, h, pathProbe, struct{}{}, nil) == nil)
		}()
	}
}

func (p *Peers) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+pathWork, p.work)
	mux.HandleFunc("POST "+pathBoundWork, p.boundWork)
	mux.HandleFunc("POST "+pathFree, p.free)
	if p.knowledge != nil {
		mux.HandleFunc("POST "+pathCatchUp, p.tellNewer)
	}
	for _, s := range p.services {
		s.registerHandlers(mux)
	}
	mux.HandleFunc("POST "+pathProbe, func(http.ResponseWriter, *http.Request) {})
	return mux
}

func (p *Peers) work(w http.ResponseWriter, r *http.Request) {
	var work batch.Work
	if decodeBody(w, r, &work) {
		p.serveWork(w, r, work)
	}
}

// serveWork runs a peer's work and responds with its outcome.
func (p *Peers) serveWork(w http.ResponseWriter, r *http.Request, work batch.Work) {
	p.recordLoads(r)
	o := p.runForPeer(r.Context(), work)
	if completed, ok := o.(batch.Completed); ok && r.Context().Err() != nil {
		p.local.Free(work.Queue, completed.Handles)
		return
	}
	p.tellLoads(w, r)
	response := p.responseFor(work.Queue, o)
	if report, ok := p.local.Report(work.Queue); ok && response.Owner == nil {
		response.Report = &report
	}
	writeJSON(w, response)
}

// runForPeer runs a peer's work if this host owns the queue, or if the work sets ForceLocal and this host is not about to stop. Otherwise it returns OwnerChanged.
func (p *Peers) runForPeer(ctx context.Context, w batch.Work) batch.Outcome {
	owner, _ := p.roster.Owner(w.Queue)
	if owner.Name != p.Host && (!w.ForceLocal || p.roster.Leaving()) {
		return batch.OwnerChanged{}
	}
	return p.local.Do(ctx, w)
}

func (p *Peers) free(w http.ResponseWriter, r *http.Request) {
	var x batch.Released
	if decodeBody(w, r, &x) {
		p.local.Free(x.Queue, x.Handles)
	}
}

func decodeBody(w http.ResponseWriter, r *http.Request, into any) bool {
	if err := json.NewDecoder(io.LimitReader(r.Body, maxBody)).Decode(into); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}
