package demo

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/cornelwing/cornelwing/internal/opapi"
	"github.com/cornelwing/cornelwing/internal/plat"
	"github.com/cornelwing/cornelwing/internal/root/admin"
	"github.com/cornelwing/cornelwing/internal/stand"
	"github.com/cornelwing/cornelwing/internal/stand/fault"
	"github.com/cornelwing/cornelwing/pkg/client"
	"github.com/cornelwing/cornelwing/pkg/config"
	"github.com/cornelwing/cornelwing/pkg/wire"
)

const account = "ring-irapuato"

// newRunningFleet returns a fleet of n daemons that are ready with the document in force. The fleet is closed at the end of the test.
func newRunningFleet(t *testing.T, n int, doc config.Document) *Fleet {
	t.Helper()
	f, err := NewFleet(StandSettings(1), io.Discard, logrus.PanicLevel)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	for i := range n {
		if _, err := f.Start(fmt.Sprintf("entry-%d", i), Domains()[i%len(Domains())]); err != nil {
			t.Fatal(err)
		}
	}
	if err := f.Apply(context.Background(), 0, doc); err != nil {
		t.Fatal(err)
	}
	if err := f.WaitReady(context.Background()); err != nil {
		t.Fatal(err)
	}
	return f
}

// eventually polls ok until it returns true. The test fails after the timeout.
func eventually(t *testing.T, timeout time.Duration, condition string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatalf("timed out after %s waiting for: %s", timeout, condition)
}

func (d *Daemon) client(opts ...client.Option) *client.Client {
	return client.New([]string{"http://" + d.Callers()}, TokenOf(account), opts...)
}

// sendOnce sends an input to a pipeline of one daemon, without retries.
func sendOnce(d *Daemon, pipeline, input, key string) (wire.Answer, error) {
	ctx, cancel := context.WithTimeout(context.Background(), lostAfter)
	defer cancel()
	return d.client().Send(ctx, client.Call{
		Pipeline: pipeline,
		Request: wire.Request{
			Input: input,
		},
		Key: key,
	}, 0)
}

// outcomeOf returns the outcome that an error from the client represents. A nil error is an answer.
func outcomeOf(err error) wire.Outcome {
	var p wire.Problem
	switch {
	case err == nil:
		return wire.Answered
	case errors.As(err, &p):
		return p.Outcome
	default:
		return wire.Outcome("broken: " + err.Error())
	}
}

// anyStageRan reports whether a stage ran on an input that starts with text.
func anyStageRan(f *Fleet, text string) bool {
	for run := range f.Environment.RunLog.Runs() {
		if strings.HasPrefix(run.Input, text) {
			return true
		}
	}
	return false
}

func setFaults(t *testing.T, f *Fleet, name string, x fault.Faults) {
	t.Helper()
	if err := f.Environment.Endpoint(name).Apply(x); err != nil {
		t.Fatal(err)
	}
}

// setPoolFaults sets the faults of each upstream of a pool.
func setPoolFaults(t *testing.T, f *Fleet, pool string, x fault.Faults) {
	t.Helper()
	for _, h := range f.Environment.Hosts() {
		if h.Pool == pool {
			setFaults(t, f, h.Name, x)
		}
	}
}

func TestRefusedRequestRunsNoStage(t *testing.T) {
	slow := Document().WithAccount(config.Account{
		Name:          "salon-brno",
		KeySHA256:     config.HashToken(TokenOf("salon-brno")),
		Weight:        1,
		RatePerSecond: 0.001,
	})
	f := newRunningFleet(t, 1, slow)
	d := f.Daemons()[0]
	type requestSpec struct {
		pipeline string
		token    string
		body     string
		header   map[string]string
	}
	scenarios := []struct {
		name string
		req  requestSpec
		// before creates the condition under test, and after removes it.
		before         func()
		after          func()
		wantKind       wire.Kind
		wantOutcome    wire.Outcome
		wantRetryAfter bool
	}{
		{name: "malformed JSON", req: requestSpec{body: `{"input":`}, wantKind: wire.KindMalformed, wantOutcome: wire.NotRun},
		{name: "unknown field", req: requestSpec{body: `{"input":"INPUT","x":1}`}, wantKind: wire.KindMalformed, wantOutcome: wire.NotRun},
		{name: "invalid priority", req: requestSpec{header: map[string]string{"Priority": "u=9"}}, wantKind: wire.KindMalformed, wantOutcome: wire.NotRun},
		{name: "invalid deadline", req: requestSpec{header: map[string]string{"Prefer": "wait=0"}}, wantKind: wire.KindMalformed, wantOutcome: wire.NotRun},
		{name: "body too large", req: requestSpec{body: `{"input":"` + strings.Repeat("x", 2<<20) + `"}`}, wantKind: wire.KindTooLarge, wantOutcome: wire.NotRun},
		{name: "unknown account", req: requestSpec{token: "nobody"}, wantKind: wire.KindAccount, wantOutcome: wire.NotRun},
		{name: "unknown pipeline", req: requestSpec{pipeline: "nowhere"}, wantKind: wire.KindNoPipeline, wantOutcome: wire.NotRun},
		{name: "booking without a key", req: requestSpec{pipeline: pipeBooking}, wantKind: wire.KindKeyMissing, wantOutcome: wire.NotRun},
		{
			name:        "marked not idempotent by the caller, without a key",
			req:         requestSpec{body: `{"input":"INPUT","idempotent":false}`},
			wantKind:    wire.KindKeyMissing,
			wantOutcome: wire.NotRun,
		},
		{
			name:           "too short deadline",
			req:            requestSpec{header: map[string]string{"Grpc-Timeout": "20m"}},
			wantKind:       wire.KindOverload,
			wantOutcome:    wire.NotRun,
			wantRetryAfter: true,
		},
		{
			name:           "too short deadline for a booking",
			req:            requestSpec{pipeline: pipeBooking, header: map[string]string{"Grpc-Timeout": "5m", "Idempotency-Key": "late"}},
			wantKind:       wire.KindOverload,
			wantOutcome:    wire.NotRun,
			wantRetryAfter: true,
		},
		{
			name:           "too short deadline for a repeated request",
			req:            requestSpec{header: map[string]string{"Grpc-Timeout": "20m", "Idempotency-Key": "again", "Grpc-Previous-Rpc-Attempts": "1"}},
			wantKind:       wire.KindOverload,
			wantOutcome:    wire.Unknown,
			wantRetryAfter: true,
		},
		{
			name:           "account rate limit exceeded",
			req:            requestSpec{token: TokenOf("salon-brno")},
			before:         func() { _, _ = sendAs(d, "salon-brno", pipeAssistant, "first") },
			wantKind:       wire.KindLimit,
			wantOutcome:    wire.NotRun,
			wantRetryAfter: true,
		},
		{
			name:           "booking while the store is down",
			req:            requestSpec{pipeline: pipeBooking, header: map[string]string{"Idempotency-Key": "out"}},
			before:         func() { setFaults(t, f, stand.PlatformName, fault.Faults{Down: true}) },
			after:          func() { setFaults(t, f, stand.PlatformName, fault.Faults{}) },
			wantKind:       wire.KindStoreUnavailable,
			wantOutcome:    wire.Unknown,
			wantRetryAfter: true,
		},
		{
			name:           "too short deadline for a booking while the store is down",
			req:            requestSpec{pipeline: pipeBooking, header: map[string]string{"Grpc-Timeout": "5m", "Idempotency-Key": "late-out"}},
			before:         func() { setFaults(t, f, stand.PlatformName, fault.Faults{Down: true}) },
			after:          func() { setFaults(t, f, stand.PlatformName, fault.Faults{}) },
			wantKind:       wire.KindOverload,
			wantOutcome:    wire.Unknown,
			wantRetryAfter: true,
		},
		{
			name:           "all upstreams of a stage are down",
			req:            requestSpec{pipeline: pipeAvailability},
			before:         func() { setPoolFaults(t, f, "bookings", fault.Faults{Down: true}) },
			after:          func() { setPoolFaults(t, f, "bookings", fault.Faults{}) },
			wantKind:       wire.KindUpstream,
			wantOutcome:    wire.NotRun,
			wantRetryAfter: true,
		},
		{
			name:           "all upstreams of a stage refuse work",
			req:            requestSpec{pipeline: pipeSummary},
			before:         func() { setPoolFaults(t, f, "encoders", fault.Faults{Refuse: true}) },
			after:          func() { setPoolFaults(t, f, "encoders", fault.Faults{}) },
			wantKind:       wire.KindUpstream,
			wantOutcome:    wire.NotRun,
			wantRetryAfter: true,
		},
	}
	for i, sc := range scenarios {
		t.Run(sc.name, func(t *testing.T) {
			if sc.before != nil {
				sc.before()
			}
			input := fmt.Sprintf("refused-%d", i)
			r := sc.req
			r.pipeline = orDefault(r.pipeline, pipeAssistant)
			r.token = orDefault(r.token, TokenOf(account))
			r.body = strings.ReplaceAll(orDefault(r.body, `{"input":"INPUT"}`), "INPUT", input)
			p, after := post(t, d, r.pipeline, r.token, r.body, r.header)
			if sc.after != nil {
				sc.after()
			}
			if p.Kind() != sc.wantKind || p.Outcome != sc.wantOutcome {
				t.Errorf("got %s (%s) %q, want %s (%s)", p.Kind(), p.Outcome, p.Detail, sc.wantKind, sc.wantOutcome)
			}
			if sc.wantRetryAfter && (p.RetryAfterMS == 0 || after == "") {
				t.Errorf("no retry delay in the problem document or the header: %+v, Retry-After %q", p, after)
			}
			if anyStageRan(f, input) {
				t.Errorf("a stage of the request ran")
			}
		})
	}
}

func sendAs(d *Daemon, clientAccount, pipeline, input string) (wire.Answer, error) {
	return client.New([]string{"http://" + d.Callers()}, TokenOf(clientAccount)).Send(context.Background(), client.Call{
		Pipeline: pipeline,
		Request:  wire.Request{Input: input},
		Key:      input,
	}, 0)
}

func orDefault(s, other string) string {
	if s == "" {
		return other
	}
	return s
}

func post(t *testing.T, d *Daemon, pipeline, token, body string, header map[string]string) (wire.Problem, string) {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, "http://"+d.Callers()+"/v1/pipelines/"+pipeline+"/requests", bytes.NewBufferString(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+token)
	for k, v := range header {
		req.Header.Set(k, v)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	var p wire.Problem
	if err := json.NewDecoder(resp.Body).Decode(&p); err != nil {
		t.Fatalf("status %d, decode problem document: %v", resp.StatusCode, err)
	}
	if ct := resp.Header.Get("Content-Type"); ct != wire.TypeProblem {
		t.Errorf("got content type %q", ct)
	}
	return p, resp.Header.Get("Retry-After")
}

func TestAvailabilityIsServedWhileStoreIsFrozen(t *testing.T) {
	f := newRunningFleet(t, 3, Document())
	setFaults(t, f, stand.PlatformName, fault.Faults{Frozen: true})
	for i, d := range f.Daemons() {
		if _, err := sendOnce(d, pipeAvailability, fmt.Sprintf("free-%d", i), ""); err != nil {
			t.Errorf("availability request while the store is frozen: %v", err)
		}
		_, err := sendOnce(d, pipeBooking, fmt.Sprintf("book-%d", i), fmt.Sprintf("key-%d", i))
		if got := outcomeOf(err); got != wire.Unknown {
			t.Errorf("booking while the store is frozen: got outcome %s", got)
		}
		if anyStageRan(f, fmt.Sprintf("book-%d", i)) {
			t.Errorf("a booking ran without a claim")
		}
	}
	setFaults(t, f, stand.PlatformName, fault.Faults{})
	eventually(t, 10*time.Second, "a booking is taken again", func() bool {
		_, err := sendOnce(f.Daemons()[0], pipeBooking, "book-after", "key-after")
		return err == nil
	})
}

func TestBookingSucceedsWhenWriteResponsesAreLost(t *testing.T) {
	f := newRunningFleet(t, 2, Document())
	setFaults(t, f, stand.PlatformName, fault.Faults{LoseAnswers: true})
	for i := range 5 {
		input := fmt.Sprintf("lost-answers-%d", i)
		if _, err := sendOnce(f.Daemons()[i%2], pipeBooking, input, input); err != nil {
			t.Errorf("booking %d failed: %v", i, err)
		}
		if n := f.Environment.RunLog.Count(stageBook, outputAfter(input, stageRetrieve)); n != 1 {
			t.Errorf("booking %d ran %d times", i, n)
		}
	}
}

func TestConcurrentRequestsWithSameKeyRunOnce(t *testing.T) {
	f := newRunningFleet(t, 3, Document())
	const keys = 40
	var wg sync.WaitGroup
	var mu sync.Mutex
	answers := map[int][]wire.Answer{}
	for k := range keys {
		for _, d := range f.Daemons() {
			wg.Go(func() {
				a, err := d.client(client.WithMaxSends(8)).Do(context.Background(), client.Call{
					Pipeline: pipeBooking,
					Request:  wire.Request{Input: fmt.Sprintf("twice-%d", k)},
					Key:      fmt.Sprintf("twice-%d", k),
				})
				if err != nil {
					t.Errorf("request with key %d failed: %v", k, err)
					return
				}
				mu.Lock()
				defer mu.Unlock()
				answers[k] = append(answers[k], a)
			})
		}
	}
	wg.Wait()
	for k := range keys {
		input := outputAfter(fmt.Sprintf("twice-%d", k), stageRetrieve)
		if n := f.Environment.RunLog.Count(stageBook, input); n != 1 {
			t.Errorf("booking with key %d ran %d times", k, n)
		}
		for _, a := range answers[k] {
			if a.RequestID != answers[k][0].RequestID || a.Output != outputAfter(input, stageBook) {
				t.Errorf("answers to key %d differ: %+v", k, a)
			}
		}
	}
}

func TestRollingRestartAnswersEveryRequest(t *testing.T) {
	f := newRunningFleet(t, 3, Document())
	recorder := NewRecorder()
	load := Load{
		BaseURLs: f.Callers,
		Rate:     80,
		Length:   6 * time.Second,
		Seed:     3,
		Recorder: recorder,
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		load.Run(context.Background())
	}()
	for i, d := range f.Daemons() {
		time.Sleep(500 * time.Millisecond)
		if _, err := f.Start(fmt.Sprintf("next-%d", i), d.Domain); err != nil {
			t.Fatal(err)
		}
		eventually(t, 5*time.Second, "the new host is ready", f.Daemons()[len(f.Daemons())-1].Ready)
		if err := f.Stop(d); err != nil {
			t.Errorf("stop %s: %v", d.Name, err)
		}
	}
	<-done
	r := recorder.Close(f.Environment.RunLog)
	t.Logf("%d sent, %d answered, %d not run, %d failed, %d unknown", r.Sent, r.Answered, r.NotRun, r.Failed, r.Unknown)
	if err := r.Check(); err != nil {
		t.Error(err)
	}
	if r.Answered != r.Sent {
		t.Errorf("only %d of %d requests were answered", r.Answered, r.Sent)
	}
}

func TestLeavingUpstreamGetsNoNewWork(t *testing.T) {
	scenarios := []struct {
		name         string
		startLeaving func(t *testing.T, f *Fleet, h plat.Host)
	}{
		{
			name: "marked as leaving by the platform",
			startLeaving: func(_ *testing.T, f *Fleet, h plat.Host) {
				h.Leaving = true
				f.Environment.AddHost(h)
			},
		},
		{
			name: "drained by an operator",
			startLeaving: func(t *testing.T, f *Fleet, h plat.Host) {
				if err := f.Apply(context.Background(), 1, Document().WithDrained(h.Name, true)); err != nil {
					t.Fatal(err)
				}
			},
		},
		{
			name: "announces that it is leaving while the platform is down",
			startLeaving: func(t *testing.T, f *Fleet, h plat.Host) {
				setFaults(t, f, stand.PlatformName, fault.Faults{Down: true})
				setFaults(t, f, h.Name, fault.Faults{Leaving: true})
			},
		},
	}
	for _, sc := range scenarios {
		t.Run(sc.name, func(t *testing.T) {
			f := newRunningFleet(t, 3, Document())
			var leaving plat.Host
			for _, h := range f.Environment.Hosts() {
				if h.Pool == "bookings" && h.Domain == Domains()[0] {
					leaving = h
				}
			}
			send := func(tag string) {
				for i := range 60 {
					d := f.Daemons()[i%3]
					if _, err := sendOnce(d, pipeAvailability, fmt.Sprintf("%s-%d", tag, i), ""); err != nil {
						t.Errorf("request sent %s the upstream started to leave failed: %v", tag, err)
					}
				}
			}
			send("before")
			up := f.Environment.Upstream(leaving.Name)
			if up.Served() == 0 {
				t.Fatal("the upstream got no work before it was leaving")
			}
			sc.startLeaving(t, f, leaving)
			time.Sleep(3 * time.Second)
			served := up.Served()
			send("after")
			if n := up.Served() - served; n > 0 {
				t.Errorf("the leaving upstream got %d calls, want 0", n)
			}
		})
	}
}

func TestNewHostWithoutPlatformStartsFromPeers(t *testing.T) {
	f := newRunningFleet(t, 3, Document())
	setFaults(t, f, stand.PlatformName, fault.Faults{Down: true})
	d, err := f.StartUnlisted("fresh", Domains()[0], "http://127.0.0.1:1")
	if err != nil {
		t.Fatal(err)
	}
	eventually(t, 5*time.Second, "the fresh host has the configuration", d.Ready)
	if _, err := sendOnce(d, pipeAssistant, "from-peers", ""); err != nil {
		t.Errorf("request to the new host failed: %v", err)
	}
}

func operatorsAPI(d *Daemon) *opapi.API {
	return opapi.New("http://"+d.OperatorsAddr(), OperatorToken)
}

func TestChangeIsInForceOnNineHostsWithinFiveSeconds(t *testing.T) {
	f := newRunningFleet(t, 9, Document())
	ctx := context.Background()
	if err := f.Apply(ctx, 1, Document().WithAccount(config.Account{
		Name:          "new",
		KeySHA256:     config.HashToken("new"),
		Weight:        1,
		RatePerSecond: 1,
	})); err != nil {
		t.Fatal(err)
	}
	began := time.Now()
	eventually(t, 5*time.Second, "every host has revision 2", func() bool {
		for _, d := range f.Daemons() {
			if s, err := operatorsAPI(d).Status(ctx); err != nil || s.Revision != 2 {
				return false
			}
		}
		return true
	})
	t.Logf("revision 2 was in force on 9 hosts after %s", time.Since(began).Round(time.Millisecond))
	eventually(t, 5*time.Second, "a host sees that all have it", func() bool {
		s, err := operatorsAPI(f.Daemons()[0]).Status(ctx)
		return err == nil && s.InForce && len(s.Live) == 9
	})
}

func TestOneOfConcurrentChangesWins(t *testing.T) {
	f := newRunningFleet(t, 3, Document())
	setFaults(t, f, stand.PlatformName, fault.Faults{Chaos: 0.5})
	text, err := Document().Encode()
	if err != nil {
		t.Fatal(err)
	}
	for base := int64(1); base <= 10; base++ {
		var wg sync.WaitGroup
		won := make([]bool, 3)
		for i, d := range f.Daemons() {
			wg.Go(func() {
				_, err := operatorsAPI(d).Apply(context.Background(), admin.Change{
					ChangeID: fmt.Sprintf("change-%d-%d", base, i),
					Base:     base,
					Document: string(text),
				})
				var refused *opapi.StatusError
				switch {
				case err == nil:
					won[i] = true
				case errors.As(err, &refused) && refused.Refusal.Winner != nil:
				default:
					t.Errorf("change of revision %d failed without naming the winner: %v", base, err)
				}
			})
		}
		wg.Wait()
		winners := 0
		for _, w := range won {
			if w {
				winners++
			}
		}
		if winners != 1 {
			t.Errorf("changes of revision %d: %d succeeded, want 1", base, winners)
		}
	}
}

func TestOnlyCrashingRequestIsQuarantined(t *testing.T) {
	f := newRunningFleet(t, 3, Document())
	setPoolFaults(t, f, "engines", fault.Faults{CrashOn: "poison"})
	var wg sync.WaitGroup
	for i := range 60 {
		wg.Go(func() {
			time.Sleep(time.Duration(i) * 20 * time.Millisecond)
			input := fmt.Sprintf("innocent-%d", i)
			a, err := f.Daemons()[i%3].client().Do(context.Background(), client.Call{
				Pipeline: pipeAssistant,
				Request:  wire.Request{Input: input},
			})
			if err != nil || a.Output == "" {
				t.Errorf("request %s failed: %v", input, err)
			}
		})
	}
	time.Sleep(100 * time.Millisecond)
	for i := range 9 {
		_, err := sendOnce(f.Daemons()[i%3], pipeAssistant, "poison", fmt.Sprintf("poison-%d", i))
		var p wire.Problem
		if !errors.As(err, &p) || p.Kind() != wire.KindQuarantined {
			t.Errorf("crashing request, attempt %d: got %v, want a quarantine", i, err)
		}
	}
	wg.Wait()
	crashes := 0
	for _, u := range f.Environment.Upstreams {
		crashes += u.Crashes()
	}
	if crashes > 2 {
		t.Errorf("the request crashed %d upstreams, want at most 2", crashes)
	}
}

func TestIsolatedDomainServesRequestsWithoutClaim(t *testing.T) {
	f := newRunningFleet(t, 3, Document())
	setFaults(t, f, stand.PlatformName, fault.Faults{Frozen: true})
	for _, h := range f.Environment.Hosts() {
		if h.Role == plat.RoleUpstream && h.Domain != Domains()[0] {
			setFaults(t, f, h.Name, fault.Faults{Frozen: true})
		}
	}
	d := f.Daemons()[0]
	var wg sync.WaitGroup
	for i := range 40 {
		wg.Go(func() {
			for _, pipeline := range []string{pipeAssistant, pipeAvailability} {
				if _, err := sendOnce(d, pipeline, fmt.Sprintf("cut-%d", i), ""); err != nil {
					t.Errorf("%s request in the isolated domain failed: %v", pipeline, err)
				}
			}
		})
	}
	wg.Wait()
	if _, err := sendOnce(d, pipeBooking, "cut-booking", "cut-booking"); outcomeOf(err) != wire.Unknown {
		t.Errorf("booking in the isolated domain: got %v, want an unknown outcome", err)
	}
	if anyStageRan(f, "cut-booking") {
		t.Error("a booking ran without a claim")
	}
}

func TestSlowBodyIsRefusedAndRunsNoStage(t *testing.T) {
	f := newRunningFleet(t, 1, Document())
	conn, err := net.Dial("tcp", f.Daemons()[0].Callers())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(20 * time.Second)); err != nil {
		t.Fatal(err)
	}
	_, err = fmt.Fprintf(conn, "POST /v1/pipelines/%s/requests HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\nContent-Type: application/json\r\nContent-Length: 40\r\n\r\n{\"input\":\"slow", pipeAssistant, TokenOf(account))
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	var p wire.Problem
	if err := json.NewDecoder(resp.Body).Decode(&p); err != nil || p.Kind() != wire.KindMalformed || p.Outcome != wire.NotRun {
		t.Errorf("got status %d, problem %+v, error %v", resp.StatusCode, p, err)
	}
	if anyStageRan(f, "slow") {
		t.Error("a stage of the request ran")
	}
}

func TestVersionRolloutUnderLoadAnswersEveryRequest(t *testing.T) {
	f := newRunningFleet(t, 3, Document())
	pool, _ := Document().Pool("engines")
	recorder := NewRecorder()
	load := Load{
		BaseURLs: f.Callers,
		Rate:     60,
		Length:   10 * time.Second,
		Seed:     4,
		Recorder: recorder,
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		load.Run(context.Background())
	}()
	err := f.Apply(context.Background(), 1, Document().WithPool(pool.WithWanted(config.Wanted{
		Model:     "maiz",
		Version:   "2",
		RollShare: 0.25,
		MaxLoads:  3,
	})))
	if err != nil {
		t.Fatal(err)
	}
	rolled := func() (n int) {
		for _, u := range f.Environment.Upstreams {
			if s := u.State(); s.Version == "2" && s.Model == "maiz" {
				n++
			}
		}
		return n
	}
	eventually(t, 60*time.Second, "every engine has the version", func() bool { return rolled() == 12 })
	for _, u := range f.Environment.Upstreams {
		if n := len(u.Orders()); n > 1 {
			t.Errorf("engine %s got %d orders, want at most 1", u.Spec.Name, n)
		}
	}
	<-done
	r := recorder.Close(f.Environment.RunLog)
	t.Logf("%d sent, %d answered, %d not run, %d failed, %d unknown", r.Sent, r.Answered, r.NotRun, r.Failed, r.Unknown)
	if err := r.Check(); err != nil {
		t.Error(err)
	}
	if r.Answered != r.Sent {
		t.Errorf("only %d of %d requests were answered", r.Answered, r.Sent)
	}
}

func TestHostWithoutConfigurationRunsNoStage(t *testing.T) {
	f, err := NewFleet(StandSettings(1), io.Discard, logrus.PanicLevel)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	d, err := f.Start("entry", Domains()[0])
	if err != nil {
		t.Fatal(err)
	}
	p, after := post(t, d, pipeAssistant, TokenOf(account), `{"input":"early"}`, nil)
	if p.Kind() != wire.KindNotReady || p.Outcome != wire.NotRun || after == "" {
		t.Errorf("got %s (%s), Retry-After %q", p.Kind(), p.Outcome, after)
	}
	resp, err := http.Get("http://" + d.Callers() + "/readyz")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("got status %d from /readyz", resp.StatusCode)
	}
	if anyStageRan(f, "early") {
		t.Error("a stage of the request ran")
	}
}
