package config

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"
	"time"

	"go.yaml.in/yaml/v3"

	"github.com/cornelwing/cornelwing/internal/strict"
)

// Document is the whole configuration. It is only replaced as a whole, after it has been validated.
type Document struct {
	Pipelines []Pipeline `json:"pipelines" yaml:"pipelines"`
	Pools     []Pool     `json:"pools" yaml:"pools"`
	Accounts  []Account  `json:"accounts" yaml:"accounts"`
	Objective Objective  `json:"objective" yaml:"objective"`
	// Drained names the upstreams that get no new work.
	Drained []string `json:"drained,omitempty" yaml:"drained,omitempty"`
}

// Pipeline is a named sequence of stages that serves a request within one deadline.
type Pipeline struct {
	Name     string `json:"name" yaml:"name"`
	Deadline Span   `json:"deadline" yaml:"deadline"`
	// Idempotent reports whether a request may run more than once. Otherwise it runs at most once.
	Idempotent bool    `json:"idempotent" yaml:"idempotent"`
	MaxTokens  int     `json:"max_tokens,omitempty" yaml:"max_tokens,omitempty"`
	Stages     []Stage `json:"stages" yaml:"stages"`
}

// Stage is one step of a pipeline. It runs on one upstream of its pool.
type Stage struct {
	Name string `json:"name" yaml:"name"`
	Pool string `json:"pool" yaml:"pool"`
	// Idempotent reports whether the stage may be sent again when the result of an earlier send is unknown.
	Idempotent bool `json:"idempotent" yaml:"idempotent"`
	// Expected is the time that the stage takes on an upstream with an empty queue.
	Expected Span `json:"expected" yaml:"expected"`
}

// Kind is the protocol that the upstreams of a pool speak.
type Kind string

// The kinds of pools.
const (
	KindEngine  Kind = "engine"
	KindWorker  Kind = "worker"
	KindService Kind = "service"
)

// Pool is a group of upstreams that run the same stage.
type Pool struct {
	Name string `json:"name" yaml:"name"`
	Kind Kind   `json:"kind" yaml:"kind"`
	// Slots is how many requests one upstream processes at the same time.
	Slots int `json:"slots" yaml:"slots"`
	// CostPerSecond is the cost of one busy slot per second.
	CostPerSecond float64 `json:"cost_per_second" yaml:"cost_per_second"`
	// ChecksFencing reports whether the upstreams of the pool refuse an order with an old fencing number.
	ChecksFencing bool `json:"checks_fencing,omitempty" yaml:"checks_fencing,omitempty"`
	// Silence is how long an attempt may make no progress before it is canceled.
	Silence Span `json:"silence" yaml:"silence"`
	// Wanted is the desired state of the engines of the pool; nil leaves them unchanged.
	Wanted *Wanted `json:"wanted,omitempty" yaml:"wanted,omitempty"`
}

// Wanted is the desired state of the engines of a pool.
type Wanted struct {
	Model    string   `json:"model" yaml:"model"`
	Version  string   `json:"version" yaml:"version"`
	Adapters []string `json:"adapters,omitempty" yaml:"adapters,omitempty"`
	Role     string   `json:"role,omitempty" yaml:"role,omitempty"`
	// RollShare is the share of live engines that may be loading at the same time, above 0 and at most 1.
	RollShare float64 `json:"roll_share" yaml:"roll_share"`
	// MaxLoads is how many engines of the pool may load from the weight store at the same time.
	MaxLoads int `json:"max_loads" yaml:"max_loads"`
}

// Account is a client account with its weight and rate limit.
type Account struct {
	Name string `json:"name" yaml:"name"`
	// KeySHA256 is the hexadecimal SHA-256 of the account's bearer token.
	KeySHA256 string `json:"key_sha256" yaml:"key_sha256"`
	// Weight is the share of the account relative to the weights of the other accounts.
	Weight int `json:"weight" yaml:"weight"`
	// RatePerSecond limits the requests of the account per second, summed over all hosts.
	RatePerSecond float64 `json:"rate_per_second" yaml:"rate_per_second"`
}

// Objective is the service-level objective over all pipelines.
type Objective struct {
	// Attainment is the share of requests to be answered completely within their deadline, above 0 and below 1.
	Attainment float64 `json:"attainment" yaml:"attainment"`
}

// Parse decodes and validates a YAML document. The error lists every fault with its line.
func Parse(name string, data []byte) (Document, error) {
	var d Document
	if err := strict.Decode(name, data, &d); err != nil {
		return Document{}, fmt.Errorf("parse document: %w", err)
	}
	return d, nil
}

// Encode returns the document as YAML.
func (d Document) Encode() ([]byte, error) {
	b, err := yaml.Marshal(d)
	if err != nil {
		return nil, fmt.Errorf("encode document: %w", err)
	}
	return b, nil
}

// Pipeline returns the pipeline with the name, and false if there is none.
func (d Document) Pipeline(name string) (Pipeline, bool) {
	i := slices.IndexFunc(d.Pipelines, func(p Pipeline) bool { return p.Name == name })
	if i < 0 {
		return Pipeline{}, false
	}
	return d.Pipelines[i], true
}

// Pool returns the pool with the name, and false if there is none.
func (d Document) Pool(name string) (Pool, bool) {
	i := slices.IndexFunc(d.Pools, func(p Pool) bool { return p.Name == name })
	if i < 0 {
		return Pool{}, false
	}
	return d.Pools[i], true
}

// WithAccount returns a copy in which the account replaces the account with the same name or is appended.
func (d Document) WithAccount(a Account) Document {
	d.Accounts = replaceOrAppend(d.Accounts, a, func(o Account) bool { return o.Name == a.Name })
	return d
}

// WithPool returns a copy in which the pool replaces the pool with the same name or is appended.
func (d Document) WithPool(p Pool) Document {
	d.Pools = replaceOrAppend(d.Pools, p, func(o Pool) bool { return o.Name == p.Name })
	return d
}

// WithWanted returns a copy of the pool with the desired state of its engines set to w.
func (p Pool) WithWanted(w Wanted) Pool {
	p.Wanted = &w
	return p
}

// WithPipeline returns a copy in which the pipeline replaces the pipeline with the same name or is appended.
func (d Document) WithPipeline(p Pipeline) Document {
	d.Pipelines = replaceOrAppend(d.Pipelines, p, func(o Pipeline) bool { return o.Name == p.Name })
	return d
}

// WithDrained returns a copy in which the upstream is drained if on is true, and not drained otherwise.
func (d Document) WithDrained(upstream string, on bool) Document {
	d.Drained = slices.DeleteFunc(slices.Clone(d.Drained), func(u string) bool { return u == upstream })
	if on {
		d.Drained = append(d.Drained, upstream)
		slices.Sort(d.Drained)
	}
	return d
}

// replaceOrAppend returns a copy of the list in which x replaces the first element that matches, or is appended.
func replaceOrAppend[T any](list []T, x T, match func(T) bool) []T {
	out := slices.Clone(list)
	if i := slices.IndexFunc(out, match); i >= 0 {
		out[i] = x
		return out
	}
	return append(out, x)
}

// HashToken returns the hexadecimal SHA-256 of a bearer token, in the form of Account.KeySHA256.
func HashToken(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// Expected returns the expected time of a stage on the pool: the longest one over all pipelines, or 0 if none uses the pool.
func (d Document) Expected(pool string) time.Duration {
	var longest time.Duration
	for _, p := range d.Pipelines {
		for _, s := range p.Stages {
			if s.Pool == pool {
				longest = max(longest, s.Expected.D())
			}
		}
	}
	return longest
}
