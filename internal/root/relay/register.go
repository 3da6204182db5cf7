package relay

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/cornelwing/cornelwing/internal/common"
)

const (
	// registrationRetry is the pause between attempts to register this host in the host table.
	registrationRetry = 500 * time.Millisecond
	// deregistrationTimeout is the timeout for removing this host from the host table.
	deregistrationTimeout = time.Second
)

// register adds this host to the host table, and again whenever the store has been restored, until ctx is done.
func (r *Relay) register(ctx context.Context, up func()) error {
	up()
	value, err := json.Marshal(r.localHost())
	if err != nil {
		return fmt.Errorf("encode host row: %w", err)
	}
	for {
		era, _ := r.adapter.Eras.Current()
		if !r.writeHostRow(ctx, value) || !r.writeAgain(ctx, era) {
			return nil
		}
		if r.roster.Leaving() {
			<-ctx.Done()
			return nil
		}
		r.rowsRewritten.Add(1)
		r.Log.Info("Writing this host to the host table again, as the store has been restored.")
	}
}

// writeHostRow writes the row of this host, retrying until that succeeds. It returns false once ctx is done.
func (r *Relay) writeHostRow(ctx context.Context, value []byte) bool {
	for {
		err := r.adapter.Hosts.Put(ctx, r.Host, value)
		if err == nil {
			return true
		}
		r.Log.WithError(err).Info("Failed to write this host to the host table. Retrying.")
		if !common.Sleep(ctx, registrationRetry) {
			return false
		}
	}
}

// deregister removes this host from the host table in the background, so that other hosts stop sending it work. Until the process ends it does so again whenever the store has been restored.
func (r *Relay) deregister() {
	r.roster.Leave()
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), r.settings.Stop.Grace.D())
		defer cancel()
		for ctx.Err() == nil {
			_, entered := r.adapter.Eras.Current()
			r.removeHostRow(ctx)
			select {
			case <-entered:
			case <-ctx.Done():
			}
		}
	}()
}

func (r *Relay) removeHostRow(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, deregistrationTimeout)
	defer cancel()
	if err := r.adapter.Hosts.Remove(ctx, r.Host); err != nil {
		r.Log.WithError(err).Info("Failed to remove this host from the host table.")
	}
}
