// Package daemon contains code shared by the main packages of the daemons: settings flags, logging, HTTP servers and
// signals.
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

// Command returns a command with the flags --settings, --check and --print-effective. It loads the settings into cfg and
// then calls run, unless --check or --print-effective is given.
func Command(name, usage string, cfg settings.Checker, run func(ctx context.Context, log *zap.Logger) error) *cli.Command {
	return &cli.Command{
		Name:  name,
		Usage: usage,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "YAML settings `FILE`", Required: true},
			&cli.BoolFlag{Name: "check", Usage: "check the settings and exit"},
			&cli.BoolFlag{Name: "print-effective", Usage: "print the settings with defaults and exit"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			if err := settings.Load(cmd.String("settings"), cfg); err != nil {
				return err
			}
			if cmd.Bool("print-effective") {
				out, err := settings.Format(cfg)
				fmt.Fprint(cmd.Root().Writer, string(out))
				return err
			}
			if cmd.Bool("check") {
				fmt.Fprintln(cmd.Root().Writer, "settings are valid")
				return nil
			}
			log, err := newLogger(cfg)
			if err != nil {
				return err
			}
			defer func() { _ = log.Sync() }()
			return run(ctx, log.Named(name))
		},
	}
}

// LogLeveler is implemented by settings that contain a log level.
type LogLeveler interface{ Level() string }

// newLogger returns a JSON logger with the log level of the settings, or info if they contain none.
func newLogger(cfg settings.Checker) (*zap.Logger, error) {
	config := zap.NewProductionConfig()
	// Sampling could drop the log lines of a request that an operator searches for.
	config.Sampling = nil
	config.EncoderConfig.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	if leveler, ok := cfg.(LogLeveler); ok {
		level, err := zap.ParseAtomicLevel(leveler.Level())
		if err != nil {
			return nil, eris.Wrap(err, "parse log level")
		}
		config.Level = level
	}
	log, err := config.Build()
	return log, eris.Wrap(err, "create logger")
}

// Main runs the command and exits with status 1 after an error.
func Main(cmd *cli.Command) {
	if err := cmd.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// OnStopSignal calls stop on each SIGTERM and SIGINT. It never returns.
func OnStopSignal(stop func()) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	for range signals {
		stop()
	}
}

// StopContext returns a context that is cancelled on SIGTERM or SIGINT. Further signals are only logged.
func StopContext(ctx context.Context, log *zap.Logger) context.Context {
	ctx, cancel := context.WithCancel(ctx)
	go OnStopSignal(func() {
		log.Info("stop signal")
		cancel()
	})
	return ctx
}

// Serve starts an HTTP server on the address and returns it. The caller must shut it down. If serving fails, the error is
// sent to failed.
func Serve(address string, handler http.Handler, failed chan<- error) (*http.Server, error) {
	return ServeWith(address, &http.Server{Handler: handler}, failed)
}

// ServeWith is like Serve, but starts a server that the caller has configured. It sets ReadHeaderTimeout to 5 s.
func ServeWith(address string, server *http.Server, failed chan<- error) (*http.Server, error) {
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
