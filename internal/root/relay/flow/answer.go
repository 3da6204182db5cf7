package flow

import (
	"net/http"
	"strings"
	"time"

	"github.com/cornelwing/cornelwing/internal/common"
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

// reject answers a request that is not proper.
func (u *run) reject(status int, reason string) {
	u.fail(status, reason)
}

// refuse says that nothing of the request has run or will run, and when to come back.
func (u *run) refuse(after time.Duration, reason string) {
	u.w.Header().Set("Retry-After", u.Headers.Wait(after))
	u.fail(http.StatusServiceUnavailable, reason)
}

func (u *run) fail(status int, reason string) {
	u.status = status
	u.reason = reason
	u.w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	u.w.WriteHeader(status)
	// A caller that has gone away needs no answer.
	_, _ = u.w.Write([]byte(reason + "\n"))
}

// giveUp ends a request without an upstream's answer; "not run" is said only where no upstream may have run it.
func (u *run) giveUp(reason string, after time.Duration) {
	switch {
	case u.begun:
		u.reason = reason
		u.abort = true
	case !u.ran:
		u.refuse(after, reason)
	case u.left() < leastLeft:
		u.fail(http.StatusGatewayTimeout, reason)
	default:
		u.fail(http.StatusBadGateway, reason)
	}
}

// end frees what is left, writes the request's log line, and cuts off an answer that is not whole.
func (u *run) end() {
	u.freeAll()
	u.log()
	if u.abort {
		panic(http.ErrAbortHandler)
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
	}
	if u.plan != nil {
		fields["version"] = u.plan.Version
	}
	if u.account.Name != "" {
		fields["account"] = u.account.Name
	}
	if u.route.Resumable || u.events > 0 {
		fields["events"] = u.events
	}
	if u.reason == "" {
		u.Log.WithFields(fields).Info("Answered.")
		return
	}
	fields["reason"] = u.reason
	if u.abort {
		u.Log.WithFields(fields).Warn("Cut off.")
		return
	}
	u.Log.WithFields(fields).Warn("Not answered at once.")
}
