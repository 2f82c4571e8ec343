// Package daemon holds what the daemons' main packages share: settings flags, logs, listeners and signals.
package daemon

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/chivemill/chivemill/settings"
)

// Command returns a command with the flags --settings, --check and --print-effective. run is called with the
// loaded settings unless one of the latter two is given.
func Command(name, usage string, set settings.Checker, run func(ctx context.Context, log *zap.Logger) error) *cli.Command {
	return &cli.Command{
		Name:  name,
		Usage: usage,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "YAML settings `FILE`", Required: true},
			&cli.BoolFlag{Name: "check", Usage: "check the settings and exit"},
			&cli.BoolFlag{Name: "print-effective", Usage: "print the settings with defaults and exit"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			if err := settings.Load(cmd.String("settings"), set); err != nil {
				return err
			}
			if cmd.Bool("print-effective") {
				out, err := settings.Format(set)
				fmt.Fprint(cmd.Root().Writer, string(out))
				return err
			}
			if cmd.Bool("check") {
				fmt.Fprintln(cmd.Root().Writer, "settings are valid")
				return nil
			}
			log, err := newLogger(set)
			if err != nil {
				return err
			}
			defer func() { _ = log.Sync() }()
			return run(ctx, log.Named(name))
		},
	}
}

// Leveled is implemented by settings that state a log level.
type Leveled interface{ Level() string }

// newLogger returns a JSON logger at the level of the settings, or at info.
func newLogger(set settings.Checker) (*zap.Logger, error) {
	config := zap.NewProductionConfig()
	// Sampling would drop lines of the very requests that an operator looks for.
	config.Sampling = nil
	config.EncoderConfig.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	if l, ok := set.(Leveled); ok {
		level, err := zap.ParseAtomicLevel(l.Level())
		if err != nil {
			return nil, eris.Wrap(err, "log level")
		}
		config.Level = level
	}
	log, err := config.Build()
	return log, eris.Wrap(err, "logger")
}

// Main runs the command and exits with status 1 after an error.
func Main(cmd *cli.Command) {
	if err := cmd.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// OnStopSignal calls stop for each SIGTERM and SIGINT. It does not return.
func OnStopSignal(stop func()) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	for range signals {
		stop()
	}
}

// StopSignal returns a context that ends at SIGTERM or SIGINT. Further signals are logged and have no effect.
func StopSignal(ctx context.Context, log *zap.Logger) context.Context {
	ctx, cancel := context.WithCancel(ctx)
	go OnStopSignal(func() {
		log.Info("stop signal")
		cancel()
	})
	return ctx
}

// Serve starts an HTTP server on the address. The caller shuts it down. A failure while serving is sent to failed.
func Serve(address string, handler http.Handler, failed chan<- error) (*http.Server, error) {
	return Start(address, &http.Server{Handler: handler}, failed)
}

// Start is Serve for a server that was set up by the caller. It sets the timeout for request headers.
func Start(address string, server *http.Server, failed chan<- error) (*http.Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, eris.Wrap(err, "listen")
	}
	server.ReadHeaderTimeout = 5 * time.Second
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			failed <- eris.Wrapf(err, "server at %s", address)
		}
	}()
	return server, nil
}
