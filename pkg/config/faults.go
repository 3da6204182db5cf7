package config

import (
	"encoding/hex"
	"fmt"
	"regexp"
	"time"

	"github.com/cornelwing/cornelwing/internal/strict"
	"github.com/cornelwing/cornelwing/pkg/wire"
)

// Limits that the validation checks.
const (
	maxDeadline = 10 * time.Minute
	maxStages   = 16
	maxSlots    = 100_000
	maxWeight   = 1_000
	sha256Bytes = 32
)

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)

// Faults returns all validation faults of the document, each with its path.
func (d *Document) Faults() []strict.Fault {
	var c strict.FaultCollector
	d.checkPools(&c)
	d.checkPipelines(&c)
	d.checkAccounts(&c)
	c.Require(d.Objective.Attainment > 0 && d.Objective.Attainment < 1,
		"objective.attainment", "%v is not above 0 and below 1", d.Objective.Attainment)
	for i, u := range d.Drained {
		c.Require(u != "", fmt.Sprintf("drained[%d]", i), "a name is needed")
	}
	return c.Faults()
}

func (d *Document) checkPools(c *strict.FaultCollector) {
	c.Require(len(d.Pools) > 0, "pools", "there must be at least one pool")
	seen := map[string]bool{}
	for i, p := range d.Pools {
		path := fmt.Sprintf("pools[%d]", i)
		checkName(c, path, p.Name, seen)
		switch p.Kind {
		case KindEngine, KindWorker, KindService:
		default:
			c.Addf(path+".kind", "%q is not one of engine, worker, service", p.Kind)
		}
		c.Require(p.Slots > 0 && p.Slots <= maxSlots, path+".slots", "%d is not from 1 to %d", p.Slots, maxSlots)
		c.Require(p.CostPerSecond >= 0, path+".cost_per_second", "%v is below 0", p.CostPerSecond)
		c.Require(p.Silence > 0 && p.Silence.D() <= maxDeadline, path+".silence", "%s is not above 0 and at most %s", p.Silence, maxDeadline)
		checkWanted(c, path+".wanted", p)
	}
}

func checkWanted(c *strict.FaultCollector, path string, p Pool) {
	w := p.Wanted
	if w == nil {
		return
	}
	c.Require(p.Kind == KindEngine, path, "only pools of engines take orders, and %q is one of %ss", p.Name, p.Kind)
	c.Require(w.Model != "", path+".model", "a name is needed")
	c.Require(w.Version != "", path+".version", "a version is needed")
	c.Require(w.RollShare > 0 && w.RollShare <= 1, path+".roll_share", "%v is not above 0 and at most 1", w.RollShare)
	c.Require(w.MaxLoads > 0, path+".max_loads", "%d is not above 0", w.MaxLoads)
}

func (d *Document) checkPipelines(c *strict.FaultCollector) {
	c.Require(len(d.Pipelines) > 0, "pipelines", "there must be at least one pipeline")
	seen := map[string]bool{}
	for i, p := range d.Pipelines {
		path := fmt.Sprintf("pipelines[%d]", i)
		checkName(c, path, p.Name, seen)
		c.Require(p.Deadline > 0 && p.Deadline.D() <= maxDeadline, path+".deadline", "%s is not above 0 and at most %s", p.Deadline, maxDeadline)
		c.Require(p.MaxTokens >= 0 && p.MaxTokens <= wire.MaxTokens, path+".max_tokens", "%d is not from 0 to %d", p.MaxTokens, wire.MaxTokens)
		c.Require(len(p.Stages) > 0 && len(p.Stages) <= maxStages, path+".stages", "%d stages are not from 1 to %d", len(p.Stages), maxStages)
		d.checkStages(c, path, p)
	}
}

func (d *Document) checkStages(c *strict.FaultCollector, path string, p Pipeline) {
	seen := map[string]bool{}
	var sum time.Duration
	for i, s := range p.Stages {
		stagePath := fmt.Sprintf("%s.stages[%d]", path, i)
		checkName(c, stagePath, s.Name, seen)
		_, ok := d.Pool(s.Pool)
		c.Require(ok, stagePath+".pool", "there is no pool %q", s.Pool)
		c.Require(s.Expected > 0, stagePath+".expected", "%s is not above 0", s.Expected)
		c.Require(s.Idempotent || !p.Idempotent, stagePath+".idempotent",
			"a stage that is not idempotent makes pipeline %q not idempotent; mark the pipeline idempotent: false", p.Name)
		sum += s.Expected.D()
	}
	c.Require(sum <= p.Deadline.D(), path+".deadline", "%s is less than the %s that its stages are expected to take", p.Deadline, sum)
}

func (d *Document) checkAccounts(c *strict.FaultCollector) {
	c.Require(len(d.Accounts) > 0, "accounts", "there must be at least one account")
	seen := map[string]bool{}
	keys := map[string]bool{}
	for i, a := range d.Accounts {
		path := fmt.Sprintf("accounts[%d]", i)
		checkName(c, path, a.Name, seen)
		b, err := hex.DecodeString(a.KeySHA256)
		c.Require(err == nil && len(b) == sha256Bytes, path+".key_sha256", "it must be 64 hexadecimal digits")
		c.Require(!keys[a.KeySHA256], path+".key_sha256", "another account has the same key")
		keys[a.KeySHA256] = true
		c.Require(a.Weight > 0 && a.Weight <= maxWeight, path+".weight", "%d is not from 1 to %d", a.Weight, maxWeight)
		c.Require(a.RatePerSecond > 0, path+".rate_per_second", "%v is not above 0", a.RatePerSecond)
	}
}

func checkName(c *strict.FaultCollector, path, name string, seen map[string]bool) {
	c.Require(namePattern.MatchString(name), path+".name", "%q is not 1 to 63 of a-z, 0-9, '.', '_', '-'", name)
	c.Require(!seen[name], path+".name", "%q stands twice", name)
	seen[name] = true
}
