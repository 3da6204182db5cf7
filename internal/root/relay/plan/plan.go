package plan

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/cornelwing/cornelwing/internal/root/place"
)

// Plan is one immutable version of the configuration.
type Plan struct {
	Version int64
	Pools   map[string]Pool
	Limits  Limits
	// Problems are the parts of the configuration that can't be used.
	Problems []error
	// accounts maps keys to their accounts, or is nil if the configuration has no accounts.
	accounts map[string]Account
	// routes maps the host name in a request to its routes, ordered by descending prefix length.
	routes map[string][]Route
}

// Limits bounds the size of a request in bytes and the timeouts of its connection.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Account is a client account with the keys that identify it.
type Account struct {
	Name string
	Keys []string
	// Rank overrides the rank of the route if HasRank is set. 0 is the most urgent.
	Rank    int
	HasRank bool
	// Regions are the regions that the requests of the account may use.
	Regions place.Regions
}

// Pool is a group of upstreams that serve the same kind of work.
type Pool struct {
	Name string
	// MaxConnections is how many connections one upstream accepts from all hosts together.
	MaxConnections int
	// Worker is set if the pool's upstreams process pieces of requests in batches.
	Worker *Worker
	// Engine is set if the pool's upstreams generate streams from prompts.
	Engine *Engine
	// WarmUp says what the upstreams take after they have started.
	WarmUp WarmUp
}

// WarmUp describes how an upstream that has started warms up.
type WarmUp struct {
	// Duration is how long it stays cold, and PerSecond the number of requests per second that it takes until then, or 0 for any number.
	Duration  time.Duration
	PerSecond float64
}

// Worker describes one upstream that processes pieces in batches.
type Worker struct {
	// Slots is how many calls the upstream processes at a time, and QueueLimit how many more calls may wait there.
	Slots      int
	QueueLimit int
	// Batch is the maximum number of pieces in a call.
	Batch int
	// Call is the approximate time of a call without its pieces, and PieceTime the additional time for each piece.
	Call      time.Duration
	PieceTime time.Duration
	// ResultCapacity is how many bytes of results the upstream can store, and ResultRetention how long it stores a result that is not freed.
	ResultCapacity  int64
	ResultRetention time.Duration
}

// Engine describes one upstream that generates streams.
type Engine struct {
	Slots       int
	CacheTokens int
}

// New returns a plan with its lookup tables built. Without accounts no request needs a key if accounts is nil, and none is accepted if it is empty, or if no account has a key.
func New(version int64, routes []Route, pools []Pool, accounts []Account, limits Limits) *Plan {
	p := &Plan{
		Version: version,
		Pools:   make(map[string]Pool, len(pools)),
		Limits:  limits,
		routes:  map[string][]Route{},
	}
	for _, pool := range pools {
		p.Pools[pool.Name] = pool
	}
	if accounts != nil {
		p.accounts = accountsByKey(accounts)
	}
	for _, r := range routes {
		p.routes[r.Host] = append(p.routes[r.Host], r)
	}
	for _, list := range p.routes {
		slices.SortStableFunc(list, func(a, b Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return p
}

// WithProblems returns a copy of the plan with the parts of its configuration that can't be used.
func (p *Plan) WithProblems(problems []error) *Plan {
	out := *p
	out.Problems = slices.Clone(problems)
	return &out
}

// accountsByKey returns the accounts by their keys. An empty key identifies no account, as a request without a key has it.
func accountsByKey(accounts []Account) map[string]Account {
	out := map[string]Account{}
	for _, a := range accounts {
		for _, k := range a.Keys {
			if k != "" {
				out[k] = a
			}
		}
	}
	return out
}

// NewerThan reports whether p should replace other, which may be nil.
func (p *Plan) NewerThan(other *Plan) bool {
	return other == nil || p.Version > other.Version
}

// Match returns the route whose host name is host and whose prefix is the longest that path starts with.
func (p *Plan) Match(host, path string) (Route, bool) {
	for _, r := range p.routes[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return Route{}, false
}

// RequiresKeys reports whether requests need the key of an account, unless their route is public. They do wherever there are accounts, even if all keys were taken away.
func (p *Plan) RequiresKeys() bool {
	return p.accounts != nil
}

// Account returns the account that holds the key.
func (p *Plan) Account(key string) (Account, bool) {
	a, ok := p.accounts[key]
	return a, ok
}

// RouteCount returns the number of routes.
func (p *Plan) RouteCount() int {
	n := 0
	for _, list := range p.routes {
		n += len(list)
	}
	return n
}
