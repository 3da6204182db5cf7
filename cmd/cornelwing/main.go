// Command cornelwing is the operators' client.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/cornelwing/cornelwing/internal/opcli"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := opcli.Run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}
