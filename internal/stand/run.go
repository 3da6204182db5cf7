package stand

import (
	"context"
	"expvar"
	"fmt"
	"net"
	"net/http"

	"github.com/cornelwing/cornelwing/internal/common"
)

// Run runs the stand-ins that the settings describe, and their control address, until ctx ends.
func Run(ctx context.Context, deps common.Deps, s Settings) error {
	env := NewEnvironment(s)
	if err := env.Start(); err != nil {
		return fmt.Errorf("run stand-ins: %w", err)
	}
	defer env.Close()
	var lc net.ListenConfig
	ln, err := lc.Listen(ctx, "tcp", s.Control)
	if err != nil {
		return fmt.Errorf("listen on the control address: %w", err)
	}
	mux := http.NewServeMux()
	mux.Handle("/", env.Control())
	mux.Handle("GET /debug/vars", expvar.Handler())
	srv := &http.Server{
		Handler:           mux,
		ReadHeaderTimeout: headerTimeout,
	}
	serveErr := make(chan error, 1)
	go func() { serveErr <- srv.Serve(ln) }()
	deps.Log.Infof("%d stand-ins have started. The control address is %s.", len(env.endpoints), ln.Addr())
	select {
	case err := <-serveErr:
		return fmt.Errorf("serve the control address: %w", err)
	case <-ctx.Done():
	}
	if err := srv.Close(); err != nil {
		return fmt.Errorf("close the control server: %w", err)
	}
	return nil
}
