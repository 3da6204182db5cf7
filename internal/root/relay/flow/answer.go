package flow

import (
	"net/http"
	"strings"
	"time"

	"github.com/cornelwing/cornelwing/internal/common"
	"github.com/cornelwing/cornelwing/internal/root/relay/meter"
)

// hops are the headers that concern one connection only.
var hops = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect"}

// stripHops takes out the headers that concern one connection only, those that Connection names among them.
func stripHops(h http.Header) {
	for _, v := range h["Connection"] {
		for name := range strings.SplitSeq(v, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hops {
		h.Del(name)
	}
}

// refuse says that nothing of the request has run or will run, and when to come back.
func (u *run) refuse(after time.Duration, cause Cause, detail string) {
	u.w.Header().Set("Retry-After", u.Headers.Wait(after))
	u.fail(http.StatusServiceUnavailable, cause, detail)
}

// fail answers a request with a status of this host's own.
func (u *run) fail(status int, cause Cause, detail string) {
	u.status = status
	u.blame(cause, detail)
	u.w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	u.w.WriteHeader(status)
	// A caller that has gone away needs no answer.
	_, _ = u.w.Write([]byte(detail + "\n"))
}

// blame records why the request has not gone well so far.
func (u *run) blame(cause Cause, detail string) {
	u.cause = cause
	u.detail = detail
}

// giveUp ends a request without an upstream's answer; "not run" is said only where no upstream may have run it.
func (u *run) giveUp(cause Cause, detail string, after time.Duration) {
	switch {
	case u.begun:
		u.blame(cause, detail)
		u.abort = true
	case !u.ran:
		u.refuse(after, cause, detail)
	case u.left() < leastLeft:
		u.fail(http.StatusGatewayTimeout, cause, detail)
	default:
		u.fail(http.StatusBadGateway, cause, detail)
	}
}

// end frees what is left, records the outcome, and cuts off an answer that is not whole.
func (u *run) end() {
	u.freeAll()
	u.record()
	u.log()
	if u.abort {
		panic(http.ErrAbortHandler)
	}
}

// record counts the outcome.
func (u *run) record() {
	now := u.Now()
	outcome := u.outcome()
	u.Meter.Add(now, meter.Entry{
		Route:     u.route.Name,
		Outcome:   outcome,
		Cause:     string(u.cause),
		Latency:   now.Sub(u.arrived),
		Sends:     u.sends,
		FirstByte: u.first,
		Eligible:  outcome != meter.Rejected && u.cause != CauseCaller,
		OnTime:    u.onTime(),
	})
}

// onTime reports whether the caller got a whole answer that is no failure and began within the objective.
func (u *run) onTime() bool {
	whole := u.begun && !u.abort && u.status < http.StatusInternalServerError
	return whole && (u.route.Objective <= 0 || u.first <= u.route.Objective)
}

func (u *run) outcome() meter.Outcome {
	switch {
	case u.abort:
		return meter.Truncated
	case u.begun:
		return meter.Answered
	case u.status == http.StatusServiceUnavailable:
		return meter.Refused
	case u.status < http.StatusInternalServerError:
		return meter.Rejected
	default:
		return meter.Failed
	}
}

func (u *run) log() {
	fields := map[string]any{
		"request":  u.ask.ID,
		"route":    u.route.Name,
		"status":   u.status,
		"sends":    u.sends,
		"upstream": u.upstream,
		"took_ms":  int64(common.Millis(u.Now().Sub(u.arrived))),
		"wait_ms":  int64(common.Millis(u.ask.Wait)),
	}
	if u.plan != nil {
		fields["version"] = u.plan.Version
	}
	if u.account.Name != "" {
		fields["account"] = u.account.Name
	}
	if u.events > 0 {
		fields["events"] = u.events
		fields["first_ms"] = int64(common.Millis(u.first))
	}
	if u.stageTime > 0 {
		fields["stages_ms"] = int64(common.Millis(u.stageTime))
	}
	fields["outcome"] = u.outcome()
	if u.cause == CauseNone {
		u.Log.WithFields(fields).Info("Request ended.")
		return
	}
	fields["cause"] = u.cause
	fields["detail"] = u.detail
	u.Log.WithFields(fields).Warn("Request ended.")
}
