// Command chivemillctl changes and shows the operators' configuration and shows the state of the daemons.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/chivemill/chivemill/internal/ctl"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := ctl.Run(ctx, os.Args, ctl.DefaultEnv())
	stop()
	os.Exit(code)
}
