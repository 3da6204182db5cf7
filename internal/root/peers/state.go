package peers

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/cornelwing/cornelwing/internal/common"
	"github.com/cornelwing/cornelwing/internal/plat"
	"github.com/cornelwing/cornelwing/internal/root/crash"
	"github.com/cornelwing/cornelwing/internal/root/front/claim"
	"github.com/cornelwing/cornelwing/internal/root/loads"
	"github.com/cornelwing/cornelwing/internal/root/view"
	"github.com/cornelwing/cornelwing/internal/root/watch"
	"github.com/cornelwing/cornelwing/pkg/config"
)

// State builds the messages for peers and applies those received from them.
type State struct {
	common.Deps
	Registry *view.Registry
	Active   *watch.Active
	Loads    *loads.Cache
	Marks    *crash.Tracker
	// OnLoad is called with each load report that is newer than the cached one.
	OnLoad func(loads.Report)
	// CommitForwarded commits claim writes that a peer forwarded.
	CommitForwarded func(ctx context.Context, writes []claim.Write) []claim.Result
}

// Digest returns a message with this host's state, but without the configuration and the host list.
func (s *State) Digest() Message {
	now := s.Now()
	notices := s.Registry.LeaveNotices(now)
	from := s.Registry.Heartbeat(now, s.Active.Number())
	heartbeats, identities := s.Registry.GossipPayload(now, maxHeartbeats, identityTTL)
	return Message{
		From:         from,
		Heartbeats:   heartbeats,
		Identities:   identities,
		ListVersion:  s.Registry.List().Version,
		LeaveNotices: notices[:min(maxLeaveNotices, len(notices))],
		Loads:        s.compactLoads(now),
		Marks:        s.Marks.Marks(now, maxMarks),
	}
}

func (s *State) compactLoads(now time.Time) []loads.CompactReport {
	newest := s.Loads.Newest(now, maxLoads)
	out := make([]loads.CompactReport, 0, len(newest))
	for _, r := range newest {
		out = append(out, loads.CompactReport{
			Upstream: view.HashName(r.Upstream),
			Busy:     r.Busy,
			Queued:   r.Queued,
			Slots:    r.Slots,
			AgeMS:    now.UnixMilli() - r.At,
		})
	}
	return out
}

func (s *State) applyLoads(now time.Time, reports []loads.CompactReport) {
	for _, b := range reports {
		name, ok := s.Registry.UpstreamName(b.Upstream)
		if !ok {
			continue
		}
		r := loads.Report{
			Upstream: name,
			Busy:     b.Busy,
			Queued:   b.Queued,
			Slots:    b.Slots,
			At:       now.UnixMilli() - b.AgeMS,
		}
		if s.Loads.Put(r) {
			s.OnLoad(r)
		}
	}
}

// AttachDocuments adds to m the configuration and the host list if the sender of other has older versions.
// It reports whether it added any.
func (s *State) AttachDocuments(m Message, other Message) (Message, bool, error) {
	m, err := s.attachRevision(m, other.From.Revision)
	if err != nil {
		return m, false, fmt.Errorf("attach revision: %w", err)
	}
	if list := s.Registry.List(); list.Version > other.ListVersion {
		data, err := json.Marshal(list)
		if err != nil {
			return m, false, fmt.Errorf("encode host list: %w", err)
		}
		m.List = data
	}
	return m, m.Revision != nil || m.Deltas != nil || m.List != nil, nil
}

// attachRevision adds the configuration if it is newer than the peer's revision: as deltas if all are available, or else in full.
func (s *State) attachRevision(m Message, peerRevision int64) (Message, error) {
	rev, ok := s.Active.Current()
	if !ok || rev.Number <= peerRevision {
		return m, nil
	}
	if deltas, known := s.Active.Deltas(peerRevision); known {
		for _, x := range deltas {
			data, err := json.Marshal(x)
			if err != nil {
				return m, fmt.Errorf("encode delta: %w", err)
			}
			m.Deltas = append(m.Deltas, data)
		}
		return m, nil
	}
	data, err := json.Marshal(rev)
	if err != nil {
		return m, fmt.Errorf("encode revision: %w", err)
	}
	m.Revision = data
	return m, nil
}

func (s *State) applyDeltas(m Message) error {
	deltas := make([]config.Delta, 0, len(m.Deltas))
	for _, data := range m.Deltas {
		var x config.Delta
		if err := json.Unmarshal(data, &x); err != nil {
			return fmt.Errorf("decode delta: %w", err)
		}
		deltas = append(deltas, x)
	}
	if s.Active.PutDeltasIfNewer(deltas) {
		s.Log.Infof("Revision %d is in force. It was built from %d deltas of peer %s.", s.Active.Number(), len(deltas), m.From.Name)
	}
	return nil
}

// Apply merges a message from a peer into the state of this host. If the sender's identity is incomplete or a document
// cannot be decoded, it returns an error and ignores the heartbeats, leave notices, load reports and crash marks.
// The documents that precede the faulty one in the message stay applied.
func (s *State) Apply(m Message) error {
	if err := m.From.Check(); err != nil {
		return fmt.Errorf("check sender: %w", err)
	}
	if err := s.applyDocuments(m); err != nil {
		return fmt.Errorf("apply configuration and host list from peer %s: %w", m.From.Name, err)
	}
	now := s.Now()
	s.Registry.Receive(now, m.From)
	for _, p := range m.Identities {
		s.Registry.Receive(now, p)
	}
	for _, b := range m.Heartbeats {
		s.Registry.ReceiveCompact(now, b)
	}
	for _, l := range m.LeaveNotices {
		s.Registry.ApplyLeaveNotice(now, l)
	}
	s.applyLoads(now, m.Loads)
	for _, mark := range m.Marks {
		s.Marks.Add(mark, now)
	}
	return nil
}

func (s *State) applyDocuments(m Message) error {
	if m.Revision != nil {
		var rev config.Revision
		if err := json.Unmarshal(m.Revision, &rev); err != nil {
			return fmt.Errorf("decode revision: %w", err)
		}
		if s.Active.PutIfNewer(rev) {
			s.Log.Infof("Revision %d by %s is in force. It was received from peer %s.", rev.Number, rev.Author, m.From.Name)
		}
	}
	if err := s.applyDeltas(m); err != nil {
		return fmt.Errorf("apply deltas: %w", err)
	}
	if m.List != nil {
		var list plat.HostList
		if err := json.Unmarshal(m.List, &list); err != nil {
			return fmt.Errorf("decode host list: %w", err)
		}
		s.Registry.UpdateList(list)
	}
	return nil
}
