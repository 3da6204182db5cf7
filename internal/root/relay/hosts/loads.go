package hosts

import (
	"encoding/base64"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/cornelwing/cornelwing/internal/common"
	"github.com/cornelwing/cornelwing/internal/root/route"
)

const (
	// headerLoads carries load reports of upstreams on messages that hosts send each other anyway. Hosts of older builds ignore it.
	headerLoads = "Cornelwing-Loads"
	// maxAskedLoads is the number of reports that a host sends with a request, and maxToldLoads the number in a response.
	maxAskedLoads = 12
	maxToldLoads  = 24
	// loadsInterval is the shortest time between two exchanges of reports that a host begins, whatever the number of hosts.
	loadsInterval = 200 * time.Millisecond
	// maxLoadsHeader bounds the header's value in bytes.
	maxLoadsHeader = 4 << 10
)

// Loads holds the load reports of upstreams.
type Loads interface {
	// SharedReports returns the newest reports, at most limit. own restricts them to those that upstreams sent to this host.
	SharedReports(now time.Time, limit int, own bool) []route.SharedReport
	// RecordShared stores reports that another host has told.
	RecordShared(now time.Time, reports []route.SharedReport)
}

// loadShare tells other hosts the load reports that this host has got, and learns theirs, in headers of messages about work.
type loadShare struct {
	common.Deps
	loads Loads
	base  http.RoundTripper

	mu sync.Mutex
	// exchangedAt is when this host last began an exchange.
	exchangedAt time.Time
}

// ShareLoads exchanges load reports with other hosts on messages about work. It must be called before Run.
func (p *Peers) ShareLoads(loads Loads) {
	p.loadShare = &loadShare{
		Deps:  p.Deps,
		loads: loads,
		base:  p.http,
	}
	p.calls = p.loadShare
}

// RoundTrip sends a message to another host. A message about work carries the newest reports that upstreams have sent to this host, and its response those that the other host knows.
func (s *loadShare) RoundTrip(r *http.Request) (*http.Response, error) {
	if r.URL.Path != pathWork || !s.due() {
		return s.send(r)
	}
	r.Header.Set(headerLoads, encodeLoads(s.loads.SharedReports(s.Now(), maxAskedLoads, true)))
	resp, err := s.send(r)
	if err == nil {
		s.record(resp.Header)
	}
	return resp, err
}

func (s *loadShare) send(r *http.Request) (*http.Response, error) {
	resp, err := s.base.RoundTrip(r)
	if err != nil {
		return nil, fmt.Errorf("send to host: %w", err)
	}
	return resp, nil
}

// due reports whether an exchange may begin now, and records that it does.
func (s *loadShare) due() bool {
	now := s.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.exchangedAt) < loadsInterval {
		return false
	}
	s.exchangedAt = now
	return true
}

// recordLoads stores the load reports that a message of another host carries.
func (p *Peers) recordLoads(r *http.Request) {
	if p.loadShare != nil {
		p.loadShare.record(r.Header)
	}
}

// tellLoads adds load reports to the response to a message that carries them.
func (p *Peers) tellLoads(w http.ResponseWriter, r *http.Request) {
	if p.loadShare == nil || r.Header.Get(headerLoads) == "" {
		return
	}
	w.Header().Set(headerLoads, encodeLoads(p.loadShare.loads.SharedReports(p.Now(), maxToldLoads, false)))
}

// record stores the reports in a message's header.
func (s *loadShare) record(h http.Header) {
	v := h.Get(headerLoads)
	if v == "" {
		return
	}
	reports, err := decodeLoads(v)
	if err != nil {
		s.Log.WithError(err).Debug("Load reports of another host ignored.")
		return
	}
	s.loads.RecordShared(s.Now(), reports)
}

func encodeLoads(reports []route.SharedReport) string {
	b, err := cbor.Marshal(reports)
	if err != nil {
		panic(fmt.Sprintf("encode load reports: %v", err))
	}
	return base64.RawStdEncoding.EncodeToString(b)
}

// decodeLoads decodes the header's value and returns an error if it is too long or any report in it is invalid.
func decodeLoads(v string) ([]route.SharedReport, error) {
	if len(v) > maxLoadsHeader {
		return nil, fmt.Errorf("check length %d of load reports: %w", len(v), route.ErrInvalidSharedReport)
	}
	b, err := base64.RawStdEncoding.DecodeString(v)
	if err != nil {
		return nil, fmt.Errorf("decode load reports: %w", err)
	}
	var reports []route.SharedReport
	if err := cbor.Unmarshal(b, &reports); err != nil {
		return nil, fmt.Errorf("decode load reports: %w", err)
	}
	return reports, nil
}
