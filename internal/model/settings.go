package model

import (
	"fmt"
	"os"
	"time"

	"github.com/cornelwing/cornelwing/internal/strict"
	"github.com/cornelwing/cornelwing/pkg/config"
)

// Settings describe a deployment and its load.
type Settings struct {
	Name string `yaml:"name"`
	// Hosts is the number of entry hosts, over all failure domains in turn.
	Hosts   int      `yaml:"hosts"`
	Domains []string `yaml:"domains"`
	Pools   []Pool   `yaml:"pools"`
	Kinds   []Kind   `yaml:"kinds"`
	// Bursts multiply the rate of kinds for a while.
	Bursts []Burst `yaml:"bursts"`
	// Length is the time in which requests arrive.
	Length config.Span `yaml:"length"`
	// Hop is the time of a message between two hosts, or between a host and an upstream.
	Hop config.Span `yaml:"hop"`
	// Clump is how many requests of a kind arrive at the same moment.
	Clump int `yaml:"clump"`
	// Retries is how often a caller comes back after a refusal.
	Retries int `yaml:"retries"`
}

// Pool describes the workers of a pool.
type Pool struct {
	Name string `yaml:"name"`
	// Workers is the number of workers in each domain.
	Workers []int `yaml:"workers"`
	// Batch is the largest number of pieces in a call.
	Batch int `yaml:"batch"`
	// Call is the time of a call without pieces, and Piece the time of a piece besides.
	Call  config.Span `yaml:"call"`
	Piece config.Span `yaml:"piece"`
	// Room is how many bytes of results a worker holds, and Retention how long it holds one.
	Room      int64       `yaml:"room"`
	Retention config.Span `yaml:"retention"`
}

// Kind describes requests of one kind.
type Kind struct {
	Name string `yaml:"name"`
	// Rate is the number of requests per second.
	Rate      float64     `yaml:"rate"`
	Rank      int         `yaml:"rank"`
	Objective config.Span `yaml:"objective"`
	Deadline  config.Span `yaml:"deadline"`
	Engine    Engine      `yaml:"engine"`
	Stages    []Stage     `yaml:"stages"`
}

// Engine describes what follows the stages of a request.
type Engine struct {
	// Fetch is the time until the engine has fetched the results of the stages, and First the mean time until its first event.
	Fetch config.Span `yaml:"fetch"`
	First config.Span `yaml:"first"`
	// Spread is the standard deviation of the logarithm of the time until the first event.
	Spread float64 `yaml:"spread"`
}

// Stage describes one stage of a kind.
type Stage struct {
	Pool  string `yaml:"pool"`
	After []int  `yaml:"after"`
	// Pieces is the mean number of pieces, Spread the standard deviation of its logarithm, and Max the largest number.
	Pieces float64 `yaml:"pieces"`
	Spread float64 `yaml:"spread"`
	Max    int     `yaml:"max"`
	// Share is the share of requests that have the stage.
	Share float64 `yaml:"share"`
	// Work is the time of a piece, as a multiple of that of the pool.
	Work float64 `yaml:"work"`
	// Bytes is the size of a result.
	Bytes int64 `yaml:"bytes"`
}

// Burst multiplies the rate of one kind, or of all if it names none.
type Burst struct {
	At     config.Span `yaml:"at"`
	For    config.Span `yaml:"for"`
	Factor float64     `yaml:"factor"`
	Kind   string      `yaml:"kind"`
}

// Load reads and checks the settings in a file.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read settings of the model: %w", err)
	}
	var s Settings
	if err := strict.Decode(path, data, &s); err != nil {
		return nil, fmt.Errorf("decode settings of the model: %w", err)
	}
	s.setDefaults()
	return &s, nil
}

func (s *Settings) setDefaults() {
	s.Clump = max(1, s.Clump)
	for k := range s.Kinds {
		for i := range s.Kinds[k].Stages {
			st := &s.Kinds[k].Stages[i]
			if st.Share == 0 {
				st.Share = 1
			}
			if st.Work == 0 {
				st.Work = 1
			}
			if st.Pieces == 0 {
				st.Pieces = 1
			}
		}
	}
}

// Faults returns what is wrong with the settings.
func (s *Settings) Faults() []strict.Fault {
	var c strict.FaultCollector
	c.Require(s.Hosts > 0, "hosts", "must be above 0")
	c.Require(len(s.Domains) > 0, "domains", "must name a failure domain")
	c.Require(s.Length > 0 && s.Length.D() <= time.Hour, "length", "must be above 0 and at most 1h")
	c.Require(s.Hop >= 0, "hop", "must not be below 0")
	known := map[string]bool{}
	for i, p := range s.Pools {
		p.check(&c, fmt.Sprintf("pools[%d]", i), len(s.Domains))
		known[p.Name] = true
	}
	c.Require(len(s.Kinds) > 0, "kinds", "must hold a kind of requests")
	for i, k := range s.Kinds {
		k.check(&c, fmt.Sprintf("kinds[%d]", i), known)
	}
	for i, b := range s.Bursts {
		c.Require(b.Factor >= 0 && b.For >= 0, fmt.Sprintf("bursts[%d]", i), "factor and for must not be below 0")
	}
	return c.Faults()
}

func (p Pool) check(c *strict.FaultCollector, path string, domains int) {
	c.Require(p.Name != "", path+".name", "must be set")
	c.Require(len(p.Workers) == domains, path+".workers", "must have a number for each of the %d domains", domains)
	c.Require(p.Batch > 0, path+".batch", "must be above 0")
	c.Require(p.Call > 0 && p.Piece >= 0, path+".call", "times of a call must be above 0, and of a piece not below 0")
	c.Require(p.Room > 0, path+".room", "must be above 0")
}

func (k Kind) check(c *strict.FaultCollector, path string, pools map[string]bool) {
	c.Require(k.Rate >= 0, path+".rate", "must not be below 0")
	c.Require(k.Objective > 0 && k.Deadline >= k.Objective, path+".deadline", "must be at least the objective, which must be above 0")
	for i, st := range k.Stages {
		at := fmt.Sprintf("%s.stages[%d]", path, i)
		c.Require(pools[st.Pool], at+".pool", "there is no pool %q", st.Pool)
		c.Require(st.Bytes >= 0 && st.Pieces >= 0 && st.Share >= 0 && st.Share <= 1, at, "bytes and pieces must not be below 0, and share must lie between 0 and 1")
		for _, a := range st.After {
			c.Require(a >= 0 && a < i, at+".after", "%d is no earlier stage", a)
		}
	}
}
