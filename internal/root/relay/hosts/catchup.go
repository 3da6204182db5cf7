package hosts

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/cornelwing/cornelwing/internal/jhttp"
	"github.com/cornelwing/cornelwing/internal/root/relay/bulk"
	"github.com/cornelwing/cornelwing/internal/root/relay/follow"
	"github.com/cornelwing/cornelwing/internal/root/route"
)

const (
	pathCatchUp = "/catch-up"
	// maxCatchUpHosts is how many hosts are asked at once, so that a large number of hosts does not ask each other all at the same time.
	maxCatchUpHosts = 8
	// catchUpTimeout is how long no byte of the answer to a call may arrive.
	catchUpTimeout = 500 * time.Millisecond
)

// Knowledge is what a restored store can have lost, and what the hosts therefore tell each other.
type Knowledge interface {
	// Newest returns the version and the encoded form of the active configuration, or 0 if there is none.
	Newest() (version int64, configuration []byte)
	// Offer activates a configuration if it is newer than the active one.
	Offer(configuration []byte)
	// Leavers returns the incarnations of upstreams that are leaving or have recently left.
	Leavers() []route.Incarnation
	// MarkLeft records that an incarnation is leaving or has left.
	MarkLeft(i route.Incarnation)
	// UnconfirmedEvacuations returns the operators' orders to evacuate failure domains that the store lacks since it was restored.
	UnconfirmedEvacuations() []follow.EvacuationNotice
	// LearnEvacuation puts such an order into force.
	LearnEvacuation(n follow.EvacuationNotice)
	// Informed reports whether this host knows what the store held before it was last restored, or that the operator has written again since.
	Informed() bool
}

// catchUpRequest asks for what is newer than the sender's configuration.
type catchUpRequest struct {
	Version int64 `json:"version"`
	// Parcels reports that the sender understands parcels. A host of an older build does not state it.
	Parcels bool `json:"parcels,omitempty"`
}

// catchUpResponse holds the version of the responding host's configuration, the configuration if it is newer than the sender's, and the upstreams that are leaving or have left.
type catchUpResponse struct {
	Version       int64  `json:"version"`
	Configuration []byte `json:"configuration,omitempty"`
	// parcel holds the configuration instead if the sender of the request understands that.
	parcel
	Leavers []route.Incarnation `json:"leavers,omitempty"`
	// Evacuations are the orders to evacuate failure domains that the store lacks since it was restored.
	Evacuations []follow.EvacuationNotice `json:"evacuations,omitempty"`
	// Informed is set if the responding host knows more than what it has just read. A host of an older build does not state it.
	Informed bool `json:"informed,omitempty"`
}

// errInvalidCatchUp is returned for a response whose configuration has no version.
var errInvalidCatchUp = errors.New("configuration has no version")

// UnmarshalJSON decodes a response and checks that a configuration has a version.
func (c *catchUpResponse) UnmarshalJSON(b []byte) error {
	type plain catchUpResponse
	var p plain
	if err := json.Unmarshal(b, &p); err != nil {
		return fmt.Errorf("decode response: %w", err)
	}
	if (len(p.Configuration) > 0 || !p.parcel.empty()) && p.Version <= 0 {
		return fmt.Errorf("check response: %w", errInvalidCatchUp)
	}
	*c = catchUpResponse(p)
	return nil
}

// CatchUp counts the hosts that were asked for newer knowledge.
type CatchUp struct {
	Asked    int
	Answered int
	// Informed counts the hosts that answered and know more than what they have just read from the store.
	Informed int
}

// Complete reports whether there is nothing more to learn: a host answered that knows more than what the store holds now. Hosts that have all just started know no more than the store.
func (c CatchUp) Complete() bool {
	return c.Informed > 0
}

// ShareKnowledge sets what this host tells others and learns from them. It must be called before Run.
func (p *Peers) ShareKnowledge(k Knowledge) {
	p.knowledge = k
}

// CatchUp asks some other hosts for what they know, and takes over what is newer than this host's knowledge.
func (p *Peers) CatchUp(ctx context.Context) CatchUp {
	others := p.roster.LiveOthers()
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	others = others[:min(len(others), maxCatchUpHosts)]
	result := CatchUp{
		Asked: len(others),
	}
	errs := make([]error, len(others))
	informed := make([]bool, len(others))
	var wg sync.WaitGroup
	for i, h := range others {
		wg.Go(func() { informed[i], errs[i] = p.learnFrom(ctx, h) })
	}
	wg.Wait()
	for i, err := range errs {
		switch {
		case err == nil && informed[i]:
			result.Answered++
			result.Informed++
		case err == nil:
			result.Answered++
		case !errors.Is(err, syscall.ECONNREFUSED):
			p.Log.WithError(err).WithField("host", others[i].Name).Info("Failed to ask a host for newer knowledge.")
		}
	}
	return result
}

// learnFrom asks one host, and reports whether it knows more than what it has just read.
func (p *Peers) learnFrom(ctx context.Context, h Host) (informed bool, err error) {
	version, _ := p.knowledge.Newest()
	var resp catchUpResponse
	request := catchUpRequest{
		Version: version,
		Parcels: true,
	}
	timeouts := jhttp.Timeouts{
		Head:  catchUpTimeout,
		Stall: catchUpTimeout,
	}
	if _, err := p.call(ctx, h, pathCatchUp, timeouts, request, &resp); err != nil {
		return false, fmt.Errorf("ask for newer knowledge: %w", err)
	}
	if !resp.parcel.empty() {
		if resp.Configuration, err = p.blocks.open(ctx, resp.parcel, h); err != nil {
			return false, fmt.Errorf("read newer configuration: %w", err)
		}
	}
	if len(resp.Configuration) > 0 {
		p.Log.WithField("host", h.Name).WithField("version", resp.Version).WithField("known", version).Info("Another host has a newer configuration.")
		p.knowledge.Offer(resp.Configuration)
	}
	for _, i := range resp.Leavers {
		p.knowledge.MarkLeft(i)
	}
	for _, n := range resp.Evacuations {
		p.knowledge.LearnEvacuation(n)
	}
	return resp.Informed, nil
}

// packConfiguration returns the configuration as it is, or in a parcel if that is understood.
func (p *Peers) packConfiguration(configuration []byte, parcels bool) ([]byte, parcel) {
	if !parcels || len(configuration) <= plainBytes {
		return configuration, parcel{}
	}
	data, err := bulk.Compress(configuration)
	if err != nil {
		p.Log.WithError(err).Warn("The configuration could not be packed. It is sent as it is.")
		return configuration, parcel{}
	}
	return nil, p.blocks.parcelOf(data)
}

// tellNewer answers another host that asks for newer knowledge.
func (p *Peers) tellNewer(w http.ResponseWriter, r *http.Request) {
	var req catchUpRequest
	if !decodeBody(w, r, &req) {
		return
	}
	resp := catchUpResponse{
		Leavers:     p.knowledge.Leavers(),
		Evacuations: p.knowledge.UnconfirmedEvacuations(),
		Informed:    p.knowledge.Informed(),
	}
	var configuration []byte
	if resp.Version, configuration = p.knowledge.Newest(); resp.Version > req.Version {
		resp.Configuration, resp.parcel = p.packConfiguration(configuration, req.Parcels)
	}
	w.Header().Set("Content-Type", jhttp.ContentType)
	// A failed write needs no handling: the host that asked is gone or asks again.
	_ = json.NewEncoder(w).Encode(resp)
}
