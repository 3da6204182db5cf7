package flow

import (
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/cornelwing/cornelwing/internal/root/relay/send"
	"github.com/cornelwing/cornelwing/internal/serve"
)

// maxBufferedBytes is the size up to which a response is buffered completely before the caller receives its first byte.
const maxBufferedBytes = 256 << 10

// maxUnboundedBytes is the size up to which a response is forwarded that states no length.
const maxUnboundedBytes = 64 << 20

// errResponseTooLong reports a response without a length that is longer than maxUnboundedBytes.
var errResponseTooLong = errors.New("response is too long")

// survivalTime is how long an upstream must have been sending events of a stream for a later crash to be a late one, which counts only against the request as a whole.
const survivalTime = time.Second

// forwardBuffered forwards a response. A small one is read completely first, so that the request can be retried if the response is truncated.
func (x *exchange) forwardBuffered(resp send.Response) error {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBufferedBytes+1))
	if err != nil {
		return fmt.Errorf("read answer: %w", err)
	}
	serve.ClaimOf(x.r).Hold(int64(cap(body)))
	if len(body) > maxBufferedBytes {
		return x.forwardUnbuffered(resp, body)
	}
	x.sendHead(resp)
	return x.writeBody(body)
}

// writeBody writes bytes to the caller. If the write fails, the response is aborted.
func (x *exchange) writeBody(b []byte) error {
	if _, err := x.w.Write(b); err != nil {
		x.abort = true
		return fmt.Errorf("write to caller: %w", err)
	}
	return nil
}

// forwardUnbuffered sends the head and the first bytes of a response, and then copies the rest as it arrives. If the copy fails, the caller's response is aborted.
func (x *exchange) forwardUnbuffered(resp send.Response, first []byte) error {
	x.sendHead(resp)
	if err := x.writeBody(first); err != nil {
		return err
	}
	body := io.Reader(resp.Body)
	if resp.Framing != send.FramedByLength {
		body = io.LimitReader(body, maxUnboundedBytes)
	}
	n, err := io.Copy(x.w, body)
	if err == nil && resp.Framing != send.FramedByLength && n == maxUnboundedBytes {
		err = errResponseTooLong
	}
	if err != nil {
		x.abort = true
		return fmt.Errorf("forward response: %w", err)
	}
	return nil
}

// forwardEvents forwards complete events of the response to a request that was sent at the given time, as they arrive. A stream whose next event does not continue the caller's is broken from that event on. If the stream breaks and can be resumed, the caller's response stays open and another upstream of the same software version continues after the last event that the caller received.
func (x *exchange) forwardEvents(resp send.Response, sentAt time.Time) error {
	rc := http.NewResponseController(x.w)
	began := x.Now()
	x.eventsBegan = began
	events := newEventReader(resp.Body, resp.Framing)
	x.position.beginPart()
	for {
		ev, err := events.next()
		atEnd := errors.Is(err, io.EOF)
		if err == nil {
			err = x.position.check(ev)
		}
		if err != nil && !atEnd {
			x.abort = x.headSent && !x.canResume()
			return fmt.Errorf("pass stream on: %w", err)
		}
		took := x.Now().Sub(sentAt)
		if !atEnd {
			if err := x.confirmBeginning(resp); err != nil {
				return fmt.Errorf("begin stream: %w", err)
			}
		}
		resp.Header.Del("Content-Length")
		if events.count == 1 {
			x.Table.RecordAnswering(x.Now(), x.upstream.Name)
			x.Table.RecordFirstEvent(x.upstream, took)
			x.stageTimes.ObserveEngine(x.Now(), x.route.Name, took)
		}
		x.sendHead(resp)
		x.freeAllResults()
		if atEnd {
			return nil
		}
		x.fixOrigin(sentAt)
		if err := x.writeBody(ev.raw); err != nil {
			return err
		}
		x.eventsSent++
		x.recordIfSurvived(began)
		x.position.advance(ev)
		x.ids.add(ev.id, x.sends)
		if err := rc.Flush(); err != nil {
			x.abort = true
			return fmt.Errorf("flush to caller: %w", err)
		}
	}
}

// recordIfSurvived records that the upstream has survived the beginning of the request, once its response has gone on for survivalTime.
func (x *exchange) recordIfSurvived(began time.Time) {
	if x.survived || x.Now().Sub(began) < survivalTime {
		return
	}
	x.survived = true
	x.CrashDetector.RecordSurvived(x.blamable)
}

// sendHead sends the head of the response to the caller, unless the head of an earlier upstream's response has been sent.
func (x *exchange) sendHead(resp send.Response) {
	if x.headSent {
		return
	}
	x.headSent = true
	x.firstByte = x.Now().Sub(x.arrived)
	x.status = resp.Status
	h := x.w.Header()
	removeHopHeaders(resp.Header)
	for name, values := range resp.Header {
		h[name] = values
	}
	if _, ok := h["Content-Type"]; !ok {
		// A nil value stops the server from guessing a content type.
		h["Content-Type"] = nil
	}
	x.w.WriteHeader(resp.Status)
}
