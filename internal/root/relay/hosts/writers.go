package hosts

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/cornelwing/cornelwing/internal/common"
)

const (
	// watchInterval is the time between two checks of the host that writes before this one.
	watchInterval = 2 * time.Second
	// watchTimeout is the timeout of a question whether a host writes, and watchAttempts is how many must fail.
	watchTimeout  = 500 * time.Millisecond
	watchAttempts = 2
	// pathWriter is the path of that question.
	pathWriter = "/writer"
)

// writerAnswer tells whether a host can write to the store.
type writerAnswer struct {
	Writes bool `json:"writes"`
}

// Writers sees to it that a host makes the writes to the store that one host makes for others. In the ranking of hosts for these writes each host watches the one before it, and takes over if that one is gone or cannot write.
type Writers struct {
	common.Deps
	peers *Peers
	// canWrite reports whether this host can write to the store.
	canWrite func() bool
	// key is the key by which the hosts are ranked for what one of them writes for all.
	key string
}

// NewWriters returns a part that watches the hosts which write for others, for all hosts that the key names, the evidence of crashes and the streams of a failure domain. It must be called before peers runs.
func NewWriters(deps common.Deps, peers *Peers, key string, canWrite func() bool) *Writers {
	w := &Writers{
		Deps:     deps.WithPart("writers"),
		peers:    peers,
		key:      key,
		canWrite: canWrite,
	}
	peers.services = append(peers.services, w)
	return w
}

func (w *Writers) registerHandlers(mux *http.ServeMux) {
	mux.HandleFunc("POST "+pathWriter, func(rw http.ResponseWriter, _ *http.Request) {
		writeJSON(rw, writerAnswer{
			Writes: w.canWrite(),
		})
	})
}

// Name returns the part's name in the supervision tree.
func (w *Writers) Name() string {
	return "writers"
}

// Run watches other hosts until ctx is done.
func (w *Writers) Run(ctx context.Context, up func()) error {
	up()
	for common.Sleep(ctx, watchInterval) {
		w.check(ctx)
	}
	return nil
}

// check asks the hosts that write before this one, and those that did not when they were last asked. A host that cannot write itself has no use for the answers.
func (w *Writers) check(ctx context.Context) {
	if !w.canWrite() {
		return
	}
	roster := w.peers.roster
	var wg sync.WaitGroup
	for _, h := range roster.notWriting() {
		wg.Go(func() { roster.setWriting(h, w.writes(ctx, h)) })
	}
	wg.Wait()
	w.checkPredecessors(ctx, w.key, "")
	w.checkPredecessors(ctx, countersKey, "")
	w.checkPredecessors(ctx, streamWriterRank, w.Domain)
}

// checkPredecessors asks the host that is ranked just before this one for the key, and the one before that as long as none writes.
func (w *Writers) checkPredecessors(ctx context.Context, key, domain string) {
	for ctx.Err() == nil {
		h, ok := w.peers.roster.writerBefore(key, domain)
		if !ok || w.writes(ctx, h) || ctx.Err() != nil {
			return
		}
		w.peers.roster.setWriting(h, false)
	}
}

// writes asks a host whether it can write.
func (w *Writers) writes(ctx context.Context, h Host) bool {
	for range watchAttempts {
		var a writerAnswer
		err := w.ask(ctx, h, &a)
		switch {
		case err == nil:
			return a.Writes
		case errors.Is(err, errUnknownPath):
			// An older build does not know the question.
			return true
		}
	}
	return false
}

func (w *Writers) ask(ctx context.Context, h Host, into *writerAnswer) error {
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	return w.peers.post(ctx, h, pathWriter, struct{}{}, into)
}
