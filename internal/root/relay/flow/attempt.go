package flow

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/cornelwing/cornelwing/internal/root/front/chain/retry"
	"github.com/cornelwing/cornelwing/internal/root/front/chain/route"
	"github.com/cornelwing/cornelwing/internal/root/relay/plan"
	"github.com/cornelwing/cornelwing/internal/root/relay/send"
)

// wholeLimit bounds the answers that are read whole before the caller gets a byte, in bytes.
const wholeLimit = 256 << 10

// attempt sends the request to one upstream; done says that the caller has its answer.
func (u *run) attempt(ctx context.Context, up route.Upstream) (ev retry.Event, done bool) {
	began := u.Now()
	u.upstream = up.Name
	ctx, cancel := u.bound(ctx)
	defer cancel()
	u.sends++
	switch res := u.Sender.Do(ctx, u.request(up)).(type) {
	case send.Unsent:
		u.sends--
		u.Table.Done(u.Now(), up.Name, u.Now().Sub(began), false)
		u.Table.Eject(u.Now(), up.Name)
		u.exclude = append(u.exclude, up.Name)
		u.blame(CauseNotSent, res.Err.Error())
		return retry.Unsent{}, false
	case send.Broken:
		u.lost(ctx, up)
		return u.broke(up, began, res.Err), false
	case send.Response:
		defer res.Body.Close()
		return u.answer(ctx, up, began, res)
	default:
		panic("unknown result")
	}
}

// bound limits an attempt of a request that can still be sent elsewhere, so that a silent upstream does not use up its time.
func (u *run) bound(ctx context.Context) (context.Context, context.CancelFunc) {
	if u.route.Kind != plan.Idempotent || u.sends+1 >= u.route.Attempts || u.route.Objective <= 0 {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, u.route.Objective)
}

func (u *run) request(up route.Upstream) send.Request {
	h := u.header.Clone()
	stripHops(h)
	u.Headers.Send(h, Send{
		Left:      u.left(),
		Upstream:  up.Name,
		Account:   u.account.Name,
		LastEvent: u.ask.LastEvent,
		Staged:    u.staged,
		Inputs:    u.inputs,
		Rank:      u.rank(),
	})
	if _, ok := h["User-Agent"]; !ok {
		// An empty value keeps the transport from adding its own.
		h["User-Agent"] = nil
	}
	return send.Request{
		Addr:   up.Addr,
		Method: u.r.Method,
		Host:   u.r.Host,
		Target: u.r.RequestURI,
		Header: h,
		Body:   u.body,
	}
}

// lost tells of a connection that an upstream, not this host, ended before its answer was whole.
func (u *run) lost(ctx context.Context, up route.Upstream) {
	if ctx.Err() == nil {
		u.Crashes.Broke(ctx, u.print, up)
	}
}

// broke records a send whose end is not known.
func (u *run) broke(up route.Upstream, began time.Time, err error) retry.Event {
	u.ran = true
	u.exclude = append(u.exclude, up.Name)
	u.blame(CauseBroken, err.Error())
	if u.r.Context().Err() != nil || u.left() <= 0 {
		u.Table.Release(u.Now(), up.Name)
	} else {
		u.Table.Done(u.Now(), up.Name, u.Now().Sub(began), false)
	}
	return retry.Broken{}
}

// answer decides what the head of an answer is worth, and passes a good answer on.
func (u *run) answer(ctx context.Context, up route.Upstream, began time.Time, a send.Response) (retry.Event, bool) {
	head := u.Headers.Read(u.ask.ID, a.Status, a.Header)
	if head.Load != nil {
		u.Table.Report(up.Name, *head.Load, u.Now())
	}
	success := a.Status >= 200 && a.Status < 300
	switch {
	case head.Foreign:
		return u.broke(up, began, errors.New("answer of another request")), false
	case head.NotRun:
		return u.notRun(up, head), false
	case success && (!head.Signed || a.Header.Get("Content-Encoding") != ""):
		return u.broke(up, began, errors.New("answer is not the upstream's own")), false
	case u.begun && !success:
		return u.broke(up, began, errors.Errorf("status %d where a stream goes on", a.Status)), false
	}
	u.ran = true
	if a.Status >= 500 && u.worthAgain() {
		u.Table.Done(u.Now(), up.Name, u.Now().Sub(began), false)
		u.exclude = append(u.exclude, up.Name)
		u.blame(CauseFailed, http.StatusText(a.Status))
		return retry.Broken{
			Free: true,
		}, false
	}
	var err error
	if success && u.route.Kind == plan.Stream {
		err = u.passStream(a)
	} else {
		err = u.passWhole(a)
	}
	if err != nil {
		u.lost(ctx, up)
		return u.broke(up, began, err), u.abort
	}
	u.Crashes.Served(u.print)
	u.Table.Done(u.Now(), up.Name, u.Now().Sub(began), true)
	return nil, true
}

// worthAgain reports whether a failure of the upstream's own may be tried elsewhere, and takes the retry from the budget.
func (u *run) worthAgain() bool {
	return !u.begun && u.route.Repeatable() && u.sends < u.route.Attempts && u.left() > leastLeft && u.budget(u.pool).Spend()
}

// notRun takes an upstream's word that it ran nothing.
func (u *run) notRun(up route.Upstream, head Head) retry.Event {
	u.Table.Release(u.Now(), up.Name)
	u.blame(CauseNotRun, "upstream ran nothing")
	if head.Gone {
		u.blame(CauseNotRun, "a result of a stage is gone")
		u.freeAll()
		return retry.Refused{}
	}
	if head.Moved {
		u.Table.Eject(u.Now(), up.Name)
		u.blame(CauseNotRun, "another upstream has the address")
	}
	u.exclude = append(u.exclude, up.Name)
	return retry.Refused{}
}

// passWhole passes an answer on: read whole first if it is small, so that a broken one can still be replaced.
func (u *run) passWhole(a send.Response) error {
	body, err := io.ReadAll(io.LimitReader(a.Body, wholeLimit+1))
	if err != nil {
		return fmt.Errorf("read answer: %w", err)
	}
	if len(body) > wholeLimit {
		return u.passLong(a, body)
	}
	if a.Length > int64(len(body)) {
		return fmt.Errorf("read answer: %w", io.ErrUnexpectedEOF)
	}
	u.begin(a)
	return u.write(body)
}

// write gives bytes to the caller; the answer of one that takes no more is cut off.
func (u *run) write(b []byte) error {
	if _, err := u.w.Write(b); err != nil {
		u.abort = true
		return fmt.Errorf("write to caller: %w", err)
	}
	return nil
}

// passLong passes an answer on as it comes; a break cuts the caller's answer off.
func (u *run) passLong(a send.Response, first []byte) error {
	u.begin(a)
	if err := u.write(first); err != nil {
		return err
	}
	if _, err := io.Copy(u.w, a.Body); err != nil {
		u.abort = true
		return fmt.Errorf("pass answer on: %w", err)
	}
	return nil
}

// passStream passes whole events on as they come. What a broken stream has given stays with the caller.
func (u *run) passStream(a send.Response) error {
	rc := http.NewResponseController(u.w)
	ev := newEvents(a.Body)
	for {
		raw, id, err := ev.next()
		ended := errors.Is(err, io.EOF)
		if err != nil && !ended {
			u.abort = u.begun && !u.resumable()
			return fmt.Errorf("pass stream on: %w", err)
		}
		a.Header.Del("Content-Length")
		u.begin(a)
		u.freeAll()
		if len(raw) > 0 {
			if err := u.write(raw); err != nil {
				return err
			}
			u.events++
		}
		if ended {
			return nil
		}
		if id != "" {
			u.ask.LastEvent = id
		}
		if err := rc.Flush(); err != nil {
			u.abort = true
			return fmt.Errorf("flush to caller: %w", err)
		}
	}
}

func (u *run) resumable() bool {
	return u.route.Resumable && u.ask.LastEvent != ""
}

// begin sends the head of the answer to the caller, unless an earlier upstream's is there already.
func (u *run) begin(a send.Response) {
	if u.begun {
		return
	}
	u.begun = true
	u.first = u.Now().Sub(u.arrived)
	u.status = a.Status
	h := u.w.Header()
	stripHops(a.Header)
	for name, values := range a.Header {
		h[name] = values
	}
	if _, ok := h["Content-Type"]; !ok {
		// A nil value keeps the server from guessing one.
		h["Content-Type"] = nil
	}
	u.w.WriteHeader(a.Status)
}
