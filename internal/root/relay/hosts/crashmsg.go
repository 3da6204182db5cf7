package hosts

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cornelwing/cornelwing/internal/jhttp"
	"github.com/cornelwing/cornelwing/internal/root/crash"
	"github.com/cornelwing/cornelwing/internal/root/crash/blame"
)

const (
	// reportTimeout, surveyTimeout and trialTimeout are the timeouts of a report, of a question about survivals, and of a request for a trial.
	reportTimeout = time.Second
	surveyTimeout = 300 * time.Millisecond
	trialTimeout  = 300 * time.Millisecond
	// notifyAttempts is how many times a host is told what is blocked, as it may have just started or not be reachable for a moment. notifyPause is the pause between two attempts.
	notifyAttempts = 5
	notifyPause    = 500 * time.Millisecond
)

// Paths of the messages about crashes.
const (
	pathCrashes   = "/crashes"
	pathBlocked   = "/blocked"
	pathSurvivals = "/survivals"
	pathTrial     = "/trial"
)

// fingerprintList names fingerprints in a message.
type fingerprintList struct {
	Fingerprints []crash.Fingerprint `json:"prints"`
}

// trialRequest asks whether one more request with a blocked fingerprint may be sent, and trialResponse is the answer.
type trialRequest struct {
	Fingerprint crash.Fingerprint `json:"print"`
}

type trialResponse struct {
	Granted bool `json:"granted"`
}

func (c *Crashes) registerHandlers(mux *http.ServeMux) {
	mux.HandleFunc("POST "+pathCrashes, c.handleReport)
	mux.HandleFunc("POST "+pathBlocked, c.handleBlocked)
	mux.HandleFunc("POST "+pathSurvivals, c.handleSurvey)
	mux.HandleFunc("POST "+pathTrial, c.handleTrial)
}

// report tells the hosts that collect crashes. If none of them can be reached, this host collects for itself.
func (c *Crashes) report(u blame.Update) {
	counters := c.peers.roster.RankedOthers(countersKey, crashCounters)
	reached := c.callAll(counters, func(h Host) error { return c.reportTo(h, u) })
	if reached == 0 || c.peers.roster.selfInTop(countersKey, crashCounters) {
		c.ledger.Merge(c.Now(), u)
		c.assess()
	}
}

// reportTo sends a report to a host, and takes over what the host knows of blocked requests among those of the report.
func (c *Crashes) reportTo(h Host, u blame.Update) error {
	var blocked blame.Update
	if err := c.peers.postWithin(reportTimeout, h, pathCrashes, u, &blocked); err != nil {
		return fmt.Errorf("report crash: %w", err)
	}
	if !blocked.Empty() {
		c.ledger.Merge(c.Now(), blocked)
		c.updateVerdict()
	}
	return nil
}

// handleReport adds the report of another host to the evidence, and answers with all that is known of the blocked requests in it.
func (c *Crashes) handleReport(w http.ResponseWriter, r *http.Request) {
	var u blame.Update
	if !decodeBody(w, r, &u) {
		return
	}
	c.ledger.Merge(c.Now(), u)
	c.assess()
	writeJSON(w, c.ledger.Evidence(c.Now(), c.ledger.BlockedAmong(u)))
}

// handleBlocked takes over what another host has found to be blocked, or no longer blocked.
func (c *Crashes) handleBlocked(w http.ResponseWriter, r *http.Request) {
	var u blame.Update
	if decodeBody(w, r, &u) {
		c.ledger.Merge(c.Now(), u)
		c.updateVerdict()
	}
}

// survey asks all other hosts when upstreams last survived the suspects.
func (c *Crashes) survey(suspects []crash.Fingerprint) {
	question := fingerprintList{
		Fingerprints: suspects[:min(len(suspects), maxSurveyed)],
	}
	c.callAll(c.peers.roster.LiveOthers(), func(h Host) error {
		var known blame.Update
		if err := c.peers.postWithin(surveyTimeout, h, pathSurvivals, question, &known); err != nil {
			return fmt.Errorf("ask for survivals: %w", err)
		}
		c.ledger.Merge(c.Now(), known)
		return nil
	})
}

// handleSurvey answers when upstreams last survived requests with the fingerprints. Later survivals are reported for a while.
func (c *Crashes) handleSurvey(w http.ResponseWriter, r *http.Request) {
	var question fingerprintList
	if !decodeBody(w, r, &question) {
		return
	}
	c.ledger.Watch(c.Now(), question.Fingerprints)
	writeJSON(w, c.ledger.Survivals(c.Now(), question.Fingerprints))
}

// requestTrial asks the host that grants trials, the first in the ranking, for the consent to one.
func (c *Crashes) requestTrial(ctx context.Context, f crash.Fingerprint) bool {
	first := c.peers.roster.RankedOthers(countersKey, 1)
	if len(first) == 0 {
		return c.ledger.GrantTrial(c.Now(), f)
	}
	ctx, cancel := context.WithTimeout(ctx, trialTimeout)
	defer cancel()
	var answer trialResponse
	if err := c.peers.post(ctx, first[0], pathTrial, trialRequest{Fingerprint: f}, &answer); err != nil {
		c.Log.WithError(err).Info("Failed to ask for a trial. The request is refused.")
		return false
	}
	return answer.Granted
}

func (c *Crashes) handleTrial(w http.ResponseWriter, r *http.Request) {
	var q trialRequest
	if decodeBody(w, r, &q) {
		writeJSON(w, trialResponse{
			Granted: c.ledger.GrantTrial(c.Now(), q.Fingerprint),
		})
	}
}

// notify tells hosts what is known of the fingerprints.
func (c *Crashes) notify(to []Host, list []crash.Fingerprint) {
	c.callAll(to, func(h Host) error {
		for part := range slices.Chunk(list, maxTold) {
			if err := c.notifyHost(h, part); err != nil {
				return err
			}
		}
		return nil
	})
}

func (c *Crashes) notifyHost(h Host, list []crash.Fingerprint) error {
	var err error
	for range notifyAttempts {
		if err = c.peers.postWithin(reportTimeout, h, pathBlocked, c.ledger.Evidence(c.Now(), list), nil); err == nil {
			return nil
		}
		time.Sleep(notifyPause)
	}
	return fmt.Errorf("tell what is blocked: %w", err)
}

// notifyJoined tells a host that has just started or is up again what is blocked, if this host is among the first in the ranking for the name of that host.
func (c *Crashes) notifyJoined(h Host) {
	list := c.ledger.Blocked()
	if len(list) > 0 && c.peers.roster.selfInTop(h.Name, crashCounters) {
		c.notify([]Host{h}, list)
	}
}

// callAll calls the hosts at the same time. It logs those that fail, and returns how many did not.
func (c *Crashes) callAll(to []Host, call func(Host) error) int {
	var (
		group   sync.WaitGroup
		mu      sync.Mutex
		failed  []string
		lastErr error
	)
	for _, h := range to {
		group.Go(func() {
			err := call(h)
			if err == nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			failed = append(failed, h.Name)
			lastErr = err
		})
	}
	group.Wait()
	if len(failed) > 0 {
		c.Log.WithError(lastErr).WithField("hosts", failed).Info("Failed to notify hosts of crashes.")
	}
	return len(to) - len(failed)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", jhttp.ContentType)
	// A failed write needs no handling: the peer is gone.
	_ = json.NewEncoder(w).Encode(v)
}
