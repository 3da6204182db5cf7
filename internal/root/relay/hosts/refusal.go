package hosts

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"

	"github.com/pkg/errors"

	"github.com/cornelwing/cornelwing/internal/jhttp"
)

const (
	// maxLinkedHosts is how many hosts with links a host without links names.
	maxLinkedHosts = 3
	// maxTunnelRefusal bounds the body of a refused tunnel, in bytes.
	maxTunnelRefusal = 4 << 10
)

// errNoCandidate is returned if all hosts have been tried.
var errNoCandidate = errors.New("no other host is left to try")

// errTooManyLinkedHosts is returned for a refusal that names more hosts than any host does.
var errTooManyLinkedHosts = errors.New("too many hosts")

// tunnelRefusal is the body of the response of a host that cannot connect to the upstream.
type tunnelRefusal struct {
	Error string `json:"error"`
	// Linked holds the names of hosts that opened connections to upstreams lately.
	Linked []string `json:"linked,omitempty"`
}

// UnmarshalJSON decodes a refusal and checks the number of hosts.
func (r *tunnelRefusal) UnmarshalJSON(b []byte) error {
	type plain tunnelRefusal
	var p plain
	if err := json.Unmarshal(b, &p); err != nil {
		return fmt.Errorf("decode refusal: %w", err)
	}
	if len(p.Linked) > maxLinkedHosts {
		return fmt.Errorf("check refusal: %w", errTooManyLinkedHosts)
	}
	*r = tunnelRefusal(p)
	return nil
}

// noLinkError reports that a host refused a tunnel, and which hosts have links according to it.
type noLinkError struct {
	status int
	linked []string
}

// Error returns the status of the response.
func (e *noLinkError) Error() string {
	return fmt.Sprintf("status %d", e.status)
}

// refuse tells another host that this one cannot connect to the upstream, and which hosts can.
func (t *Tunnels) refuse(w http.ResponseWriter, cause error) {
	w.Header().Set("Content-Type", jhttp.ContentType)
	w.WriteHeader(http.StatusBadGateway)
	// A failed write needs no handling: the host that asked is gone or tries another one.
	_ = json.NewEncoder(w).Encode(tunnelRefusal{
		Error:  cause.Error(),
		Linked: t.linkedHosts(),
	})
}

// refusalOf reads the response of a host that refused a tunnel, and closes its body.
func refusalOf(resp *http.Response) *noLinkError {
	// The connection is shared with other streams, so an error of Close doesn't matter.
	defer resp.Body.Close()
	var r tunnelRefusal
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxTunnelRefusal)).Decode(&r); err != nil {
		// Hosts of older builds send plain text.
		r = tunnelRefusal{}
	}
	return &noLinkError{
		status: resp.StatusCode,
		linked: r.Linked,
	}
}

// tunnelSearch is the search for a host that can connect to an upstream. It is safe for concurrent use.
type tunnelSearch struct {
	mu sync.Mutex
	// untried holds the hosts that are left, in the order in which they are tried.
	untried []Host
	refused int
}

func newTunnelSearch(candidates []Host) *tunnelSearch {
	return &tunnelSearch{
		untried: candidates,
	}
}

// next returns the host to try next, or false if none is left.
func (s *tunnelSearch) next() (Host, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.untried) == 0 {
		return Host{}, false
	}
	h := s.untried[0]
	s.untried = s.untried[1:]
	return h, true
}

// refusals returns how many hosts have answered that they have no link.
func (s *tunnelSearch) refusals() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.refused
}

// recordRefusal records that a host has no link. The hosts that it names are the next ones, unless they have been tried. Names of unknown hosts are ignored.
func (s *tunnelSearch) recordRefusal(names []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refused++
	var named, others []Host
	for _, h := range s.untried {
		if slices.Contains(names, h.Name) {
			named = append(named, h)
			continue
		}
		others = append(others, h)
	}
	s.untried = append(named, others...)
}
