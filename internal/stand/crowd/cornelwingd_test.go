package crowd

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cornelwing/cornelwing/internal/demo"
	"github.com/cornelwing/cornelwing/internal/opapi"
	"github.com/cornelwing/cornelwing/internal/plat"
	"github.com/cornelwing/cornelwing/internal/root/admin"
	"github.com/cornelwing/cornelwing/internal/stand"
	"github.com/cornelwing/cornelwing/pkg/config"
)

// pipelineTarget is the path of the demo's shortest pipeline.
const pipelineTarget = "/v1/pipelines/availability/requests"

// controlMachine has the memory that the users grant a host.
var controlMachine = machine{memoryMB: 256, descriptors: 1024}

// patientDocument returns the configuration of the demo with limits of time that do not depend on the speed of the upstreams. They run in the process of the test, where the race detector slows them down.
func patientDocument() config.Document {
	doc := demo.Document()
	for i := range doc.Pools {
		doc.Pools[i].Silence = config.Span(answerTimeout)
	}
	for i := range doc.Pipelines {
		doc.Pipelines[i].Deadline = config.Span(answerTimeout)
	}
	return doc
}

// startCornelwingd starts cornelwingd with stand-ins for the platform and the upstreams, and applies the configuration.
func startCornelwingd(t *testing.T, m machine, doc config.Document) *daemon {
	t.Helper()
	env := stand.NewEnvironment(demo.StandSettings(1))
	if err := env.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(env.Close)
	addrs := freeAddrs(t, 3)
	d := startDaemon(t, "cornelwingd", fmt.Sprintf(`host: {name: entry-0, domain: %s, memory_mb: %d, descriptors: %d}
listen: {callers: %q, operators: %q, peers: %q}
platform: {url: "http://%s", timeout: 500ms}
limits: {max_body_bytes: %d, body_timeout: 20s}
operators: [{name: test, role: approver, key_sha256: %s}]
`, demo.Domains()[0], m.memoryMB, m.descriptors, addrs[0], addrs[1], addrs[2], env.Endpoint(stand.PlatformName).Addr(), bodyLimit, config.HashToken(demo.OperatorToken)))
	env.AddHost(plat.Host{
		Name:   "entry-0",
		Addr:   addrs[2],
		Domain: demo.Domains()[0],
		Role:   plat.RoleEntry,
	})
	d.callers = addrs[0]
	d.ready = addrs[0]
	d.ordinary = ordinaryPipelineRequest(d.callers)
	applyDocument(t, addrs[1], doc)
	d.waitReady(t)
	return d
}

// ordinaryPipelineRequest returns a function that sends one request to the pipeline, each under its own key.
func ordinaryPipelineRequest(addr string) func(size int) bool {
	var sent atomic.Int64
	return func(size int) bool {
		body := fmt.Sprintf(`{"input":%q}`, strings.Repeat("o", max(1, size-len(`{"input":""}`))))
		req, err := http.NewRequest(http.MethodPost, "http://"+addr+pipelineTarget, strings.NewReader(body))
		if err == nil {
			req.Header.Set("Authorization", "Bearer "+demo.TokenOf(demo.Accounts()[0]))
			req.Header.Set("Content-Type", "application/json")
			req.Header.Set("Idempotency-Key", "ordinary-"+strconv.FormatInt(sent.Add(1), 10))
		}
		return send(req, err)
	}
}

func applyDocument(t *testing.T, operators string, document config.Document) {
	t.Helper()
	doc, err := document.Encode()
	if err != nil {
		t.Fatal(err)
	}
	api := opapi.New("http://"+operators, demo.OperatorToken)
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		_, err = api.Apply(context.Background(), admin.Change{
			ChangeID: "first",
			Document: string(doc),
		})
		if err == nil {
			return
		}
	}
	t.Fatal(err)
}

// pipelineHead returns the head of a caller's request, without its end.
func pipelineHead(method, target string) string {
	return Head(method, target, "Host: h.example", "Content-Type: application/json", "Idempotency-Key: crowd", "Authorization: Bearer "+demo.TokenOf(demo.Accounts()[0]))
}

// manyFields returns a JSON body of the size in bytes that consists of short fields.
func manyFields(size int) string {
	field := []byte(`"input":"i",`)
	var b bytes.Buffer
	b.WriteString("{")
	for b.Len() < size-2*len(field) {
		b.Write(field)
	}
	b.WriteString(`"input":"i"}`)
	return b.String()
}

// TestCornelwingdUnderCrowds guards against callers outside the limits that end the process, exhaust its machine or keep it from answering others.
func TestCornelwingdUnderCrowds(t *testing.T) {
	post := pipelineHead("POST", pipelineTarget)
	nowhere := pipelineHead("POST", "/v1/nowhere")
	ready := pipelineHead("GET", "/readyz")
	fields := manyFields(bodyLimit)
	scenarios := []struct {
		name    string
		machine machine
		conns   int
		play    Client
	}{
		{name: "bodies in one piece that stop short", machine: controlMachine, conns: 100, play: ShortBody(post, bodyLimit, bodyLimit)},
		{name: "bodies in small pieces that stop short", machine: controlMachine, conns: 100, play: ShortBody(post, bodyLimit, 1<<10)},
		{name: "bodies in chunks that stop short", machine: controlMachine, conns: 100, play: ShortChunks(post, bodyLimit-1<<16, 1<<10)},
		{name: "bodies over the limit", machine: controlMachine, conns: 100, play: ShortBody(post, 4*bodyLimit, 1<<16)},
		{name: "bodies of short fields", machine: controlMachine, conns: 40, play: Text(post + "Content-Length: " + strconv.Itoa(len(fields)) + "\r\n\r\n" + fields)},
		{name: "heads of short fields without an end", machine: controlMachine, conns: 100, play: Fields(post, 2<<20, "")},
		{name: "bodies without a route", machine: controlMachine, conns: 100, play: ShortBody(nowhere, bodyLimit, 1<<16)},
		{name: "heads of short fields without a route", machine: controlMachine, conns: 100, play: Fields(nowhere, 2<<20, "")},
		{name: "bodies to the path of readiness", machine: controlMachine, conns: 100, play: ShortBody(ready, bodyLimit, 1<<16)},
		{name: "requests sent ahead", machine: controlMachine, conns: 60, play: Ahead(ready+"\r\n", 1000)},
		{name: "silent connections", machine: fewDescriptors, conns: 300, play: Text("")},
		{name: "half heads", machine: fewDescriptors, conns: 300, play: Text(post)},
		{name: "heads sent slowly", machine: fewDescriptors, conns: 300, play: Trickle(strings.Repeat(post, 20))},
		{name: "small bodies that stop short", machine: fewDescriptors, conns: 300, play: ShortBody(post, 1000, 1000)},
		{name: "small bodies without a route that stop short", machine: fewDescriptors, conns: 300, play: ShortBody(nowhere, 1000, 1000)},
	}
	for _, sc := range scenarios {
		t.Run(sc.name, func(t *testing.T) {
			d := startCornelwingd(t, sc.machine, demo.Document())
			c := Open(d.callers, sc.conns, sc.play)
			defer c.Close()
			d.check(t, sc.machine)
			if !d.answersOrdinary(ordinaryBytes) {
				t.Error("an ordinary request was not answered")
			}
			d.check(t, sc.machine)
		})
	}
}

// TestCornelwingdTakesLargestBodyInCalm guards against bounds that turn away a single request within the limits.
func TestCornelwingdTakesLargestBodyInCalm(t *testing.T) {
	d := startCornelwingd(t, controlMachine, patientDocument())
	if !d.ordinary(bodyLimit) {
		t.Error("the request was not answered")
	}
	d.check(t, controlMachine)
}
