package plan

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Plan is one immutable version of the configuration.
type Plan struct {
	Version int64
	Pools   map[string]Pool
	Limits  Limits
	// accounts are found by their keys.
	accounts map[string]Account
	// routes are found by their host, those with the longest prefix first.
	routes map[string][]Route
}

// Limits bounds what a caller may send and how long it may take.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Account is a client account with the keys that name it.
type Account struct {
	Name string
	Keys []string
	// Rank, where Ranked is set, goes before the rank of the route; 0 is the most urgent.
	Rank   int
	Ranked bool
}

// Pool is a group of upstreams that serve the same work.
type Pool struct {
	Name string
	// Connections is how many connections one upstream takes from all hosts together.
	Connections int
	// Worker is set where the pool works on pieces of requests in batches.
	Worker *Worker
	// Engine is set where the pool's upstreams generate streams from prompts.
	Engine *Engine
}

// Worker describes one upstream that works on pieces in batches.
type Worker struct {
	// Slots is how many calls it works on at a time, and Queue how many more may wait there.
	Slots int
	Queue int
	// Batch is the most pieces of a call.
	Batch int
	// Call and Item are about what a call takes, and each piece of it besides.
	Call time.Duration
	Item time.Duration
	// Room is how many bytes of results it holds, and Keep how long it holds a result that is not freed.
	Room int64
	Keep time.Duration
}

// Engine describes one upstream that generates streams.
type Engine struct {
	Slots  int
	Tokens int
}

// New returns a plan with its lookups built.
func New(version int64, routes []Route, pools []Pool, accounts []Account, limits Limits) *Plan {
	p := &Plan{
		Version:  version,
		Pools:    make(map[string]Pool, len(pools)),
		Limits:   limits,
		accounts: map[string]Account{},
		routes:   map[string][]Route{},
	}
	for _, pool := range pools {
		p.Pools[pool.Name] = pool
	}
	for _, a := range accounts {
		for _, k := range a.Keys {
			p.accounts[k] = a
		}
	}
	for _, r := range routes {
		p.routes[r.Host] = append(p.routes[r.Host], r)
	}
	for _, list := range p.routes {
		slices.SortStableFunc(list, func(a, b Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return p
}

// Newer reports whether p is to replace other.
func (p *Plan) Newer(other *Plan) bool {
	return other == nil || p.Version > other.Version
}

// Match returns the route of the host whose prefix is the longest that begins the path.
func (p *Plan) Match(host, path string) (Route, bool) {
	for _, r := range p.routes[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return Route{}, false
}

// Closed reports whether requests need the key of an account, unless their route is public.
func (p *Plan) Closed() bool {
	return len(p.accounts) > 0
}

// Account returns the account that holds the key.
func (p *Plan) Account(key string) (Account, bool) {
	a, ok := p.accounts[key]
	return a, ok
}

// Routes returns how many routes there are.
func (p *Plan) Routes() int {
	n := 0
	for _, list := range p.routes {
		n += len(list)
	}
	return n
}
