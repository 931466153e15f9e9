// Command lynxjunction is a client-side load balancer that runs as a sidecar of one calling process.
package main

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/spf13/cobra"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/lynxjunction/lynxjunction/internal/sidecar"
)

func main() {
	if err := root().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "lynxjunction:", err)
		os.Exit(1)
	}
}

func root() *cobra.Command {
	var path, level string
	readStart := func() (*sidecar.Config, error) {
		if path == "" {
			return nil, errors.New("no configuration: set RELAY_CONFIG or --config")
		}
		return sidecar.Read(path)
	}
	rootCmd := &cobra.Command{
		Use: "lynxjunction", Short: "A client-side load balancer beside one calling process",
		SilenceUsage: true, SilenceErrors: true,
	}
	rootCmd.PersistentFlags().StringVar(&path, "config", os.Getenv("RELAY_CONFIG"), "file that the sidecar starts from")
	serve := &cobra.Command{
		Use: "serve", Short: "Serve until SIGTERM, then finish what is held", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			// SIGHUP terminates a process that does not handle it, so it is handled before anything else.
			reload := make(chan os.Signal, 1)
			signal.Notify(reload, syscall.SIGHUP)
			start, err := readStart()
			if err != nil {
				return err
			}
			log, err := newLogger(level, os.Stderr)
			if err != nil {
				return err
			}
			defer log.Sync()
			// If the process that reads the log exits, writing to its pipe must not terminate the sidecar.
			signal.Ignore(syscall.SIGPIPE)
			ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
			defer stop()
			return start.Serve(ctx, log, reload, readStart)
		},
	}
	serve.Flags().StringVar(&level, "log", cmp.Or(os.Getenv("RELAY_LOG"), "info"),
		"least level that is logged: debug, info, warn, error; RELAY_LOG is the default")
	check := &cobra.Command{
		Use: "check", Short: "Check a configuration and say what it holds", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			start, err := readStart()
			if err != nil {
				return err
			}
			fmt.Fprintln(c.OutOrStdout(), start)
			return nil
		},
	}
	version := &cobra.Command{
		Use: "version", Short: "Print the version", Args: cobra.NoArgs,
		Run: func(c *cobra.Command, _ []string) { fmt.Fprintln(c.OutOrStdout(), revision()) },
	}
	rootCmd.AddCommand(serve, check, version)
	return rootCmd
}

// newLogger returns a logger that writes JSON lines to out and never blocks its callers: the event loop logs too, and a
// blocked log reader must not stall exchanges. Lines that do not fit into the buffer are dropped.
func newLogger(level string, out io.Writer) (*zap.Logger, error) {
	minLevel, err := zap.ParseAtomicLevel(level)
	if err != nil {
		return nil, err
	}
	w := &logWriter{lines: make(chan []byte, 1000), flush: make(chan chan bool)}
	go w.run(out)
	return zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig()), w, minLevel)), nil
}

// logWriter queues log lines for a goroutine that writes them out.
type logWriter struct {
	lines chan []byte
	flush chan chan bool
}

// run writes queued lines to out and answers requests to flush.
func (w *logWriter) run(out io.Writer) {
	for {
		select {
		case line := <-w.lines:
			out.Write(line)
		case done := <-w.flush:
			for len(w.lines) > 0 {
				out.Write(<-w.lines)
			}
			close(done)
		}
	}
}

// Write queues a line, or drops it when the queue is full.
func (w *logWriter) Write(line []byte) (int, error) {
	select {
	case w.lines <- bytes.Clone(line):
	default:
	}
	return len(line), nil
}

// Sync waits up to 200 ms for the queued lines to be written.
func (w *logWriter) Sync() error {
	timeout, done := time.After(200*time.Millisecond), make(chan bool)
	select {
	case w.flush <- done:
	case <-timeout:
		return os.ErrDeadlineExceeded
	}
	select {
	case <-done:
		return nil
	case <-timeout:
		return os.ErrDeadlineExceeded
	}
}

// revision returns the module version, Go version and VCS revision recorded in the binary.
func revision() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "lynxjunction, unknown build"
	}
	text := "lynxjunction " + info.Main.Version + " " + info.GoVersion
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" || s.Key == "vcs.modified" {
			text += " " + s.Key + "=" + s.Value
		}
	}
	return text
}
