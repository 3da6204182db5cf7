package stand

import (
	"context"
	"expvar"
	"fmt"
	"net"
	"net/http"

	"github.com/cornelwing/cornelwing/internal/common"
)

// Run runs the stand-ins of the settings until ctx ends.
func Run(ctx context.Context, deps common.Deps, s Settings) error {
	w := NewEnvironment(s)
	if err := w.Start(); err != nil {
		return fmt.Errorf("run stand-ins: %w", err)
	}
	defer w.Close()
	var lc net.ListenConfig
	ln, err := lc.Listen(ctx, "tcp", s.Control)
	if err != nil {
		return fmt.Errorf("listen for control: %w", err)
	}
	mux := http.NewServeMux()
	mux.Handle("/", w.Control())
	mux.Handle("GET /debug/vars", expvar.Handler())
	srv := &http.Server{
		Handler:           mux,
		ReadHeaderTimeout: headerTimeout,
	}
	failed := make(chan error, 1)
	go func() { failed <- srv.Serve(ln) }()
	deps.Log.Infof("%d stand-ins are up. Control is on %s.", len(w.endpoints), ln.Addr())
	select {
	case err := <-failed:
		return fmt.Errorf("serve control: %w", err)
	case <-ctx.Done():
	}
	if err := srv.Close(); err != nil {
		return fmt.Errorf("close control: %w", err)
	}
	return nil
}
