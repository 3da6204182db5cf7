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

// State decides what to tell a peer and takes in what a peer tells.
type State struct {
	common.Deps
	Registry *view.Registry
	Holder   *watch.Holder
	Loads    *loads.Cache
	Marks    *crash.Tracker
	// OnLoad is given each load report that is news.
	OnLoad func(loads.Report)
	// Serve commits claims that a peer handed over.
	Serve func(ctx context.Context, writes []claim.Write) []claim.Result
}

// Digest returns what this host knows, without whole documents.
func (d *State) Digest() Message {
	now := d.Now()
	leaves := d.Registry.Leaves(now)
	from := d.Registry.Beat(now, d.Holder.Number())
	beats, met := d.Registry.News(now, maxBeats, metWithin)
	return Message{
		From:        from,
		Beats:       beats,
		Met:         met,
		ListVersion: d.Registry.List().Version,
		Leaves:      leaves[:min(maxLeaves, len(leaves))],
		Loads:       d.briefs(now),
		Marks:       d.Marks.Marks(now, maxMarks),
	}
}

func (d *State) briefs(now time.Time) []loads.Brief {
	newest := d.Loads.Newest(now, maxLoads)
	out := make([]loads.Brief, 0, len(newest))
	for _, r := range newest {
		out = append(out, loads.Brief{
			Upstream: view.HashName(r.Upstream),
			Busy:     r.Busy,
			Queued:   r.Queued,
			Slots:    r.Slots,
			AgeMS:    now.UnixMilli() - r.At,
		})
	}
	return out
}

func (d *State) takeLoads(now time.Time, briefs []loads.Brief) {
	for _, b := range briefs {
		name, ok := d.Registry.UpstreamName(b.Upstream)
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
		if d.Loads.Put(r) {
			d.OnLoad(r)
		}
	}
}

// Attach adds to m the documents of which the other has an older version, and reports whether there are any.
func (d *State) Attach(m Message, other Message) (Message, bool, error) {
	m, err := d.attachRevision(m, other.From.Revision)
	if err != nil {
		return m, false, fmt.Errorf("attach revision: %w", err)
	}
	if list := d.Registry.List(); list.Version > other.ListVersion {
		data, err := json.Marshal(list)
		if err != nil {
			return m, false, fmt.Errorf("encode host list: %w", err)
		}
		m.List = data
	}
	return m, m.Revision != nil || m.Deltas != nil || m.List != nil, nil
}

// attachRevision adds what the other lacks of the configuration, in small steps where these are known.
func (d *State) attachRevision(m Message, theirs int64) (Message, error) {
	rev, ok := d.Holder.Current()
	if !ok || rev.Number <= theirs {
		return m, nil
	}
	if deltas, known := d.Holder.Deltas(theirs); known {
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

func (d *State) takeDeltas(m Message) error {
	deltas := make([]config.Delta, 0, len(m.Deltas))
	for _, data := range m.Deltas {
		var x config.Delta
		if err := json.Unmarshal(data, &x); err != nil {
			return fmt.Errorf("read delta: %w", err)
		}
		deltas = append(deltas, x)
	}
	if d.Holder.OfferDeltas(deltas) {
		d.Log.Infof("Revision %d is in force, by %d deltas from peer %s.", d.Holder.Number(), len(deltas), m.From.Name)
	}
	return nil
}

// Take takes in what a peer told; what cannot be read is refused whole.
func (d *State) Take(m Message) error {
	if err := m.From.Check(); err != nil {
		return fmt.Errorf("take message: %w", err)
	}
	if err := d.takeDocuments(m); err != nil {
		return fmt.Errorf("take message of %s: %w", m.From.Name, err)
	}
	now := d.Now()
	d.Registry.Hear(now, m.From)
	for _, p := range m.Met {
		d.Registry.Hear(now, p)
	}
	for _, b := range m.Beats {
		d.Registry.HearBrief(now, b)
	}
	for _, l := range m.Leaves {
		d.Registry.TakeLeave(now, l)
	}
	d.takeLoads(now, m.Loads)
	for _, mark := range m.Marks {
		d.Marks.Add(mark, now)
	}
	return nil
}

func (d *State) takeDocuments(m Message) error {
	if m.Revision != nil {
		var rev config.Revision
		if err := json.Unmarshal(m.Revision, &rev); err != nil {
			return fmt.Errorf("read revision: %w", err)
		}
		if d.Holder.Offer(rev) {
			d.Log.Infof("Revision %d by %s is in force, from peer %s.", rev.Number, rev.Author, m.From.Name)
		}
	}
	if err := d.takeDeltas(m); err != nil {
		return fmt.Errorf("take deltas: %w", err)
	}
	if m.List != nil {
		var list plat.HostList
		if err := json.Unmarshal(m.List, &list); err != nil {
			return fmt.Errorf("read host list: %w", err)
		}
		d.Registry.TakeList(list)
	}
	return nil
}
