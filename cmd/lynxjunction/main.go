// Command lynxjunction is the sidecar.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/spf13/cobra"
	"go.uber.org/zap"

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
	read := func() (*sidecar.Start, error) {
		if path == "" {
			return nil, errors.New("no configuration: set RELAY_CONFIG or --config")
		}
		return sidecar.Read(path)
	}
	all := &cobra.Command{
		Use: "lynxjunction", Short: "A client-side load balancer beside one calling process",
		SilenceUsage: true, SilenceErrors: true,
	}
	all.PersistentFlags().StringVar(&path, "config", os.Getenv("RELAY_CONFIG"), "file that the sidecar starts from")
	serve := &cobra.Command{
		Use: "serve", Short: "Serve until SIGTERM, then finish what is held", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			start, err := read()
			if err != nil {
				return err
			}
			log, err := logger(level)
			if err != nil {
				return err
			}
			defer log.Sync()
			// A log reader that dies must not take the sidecar with it.
			signal.Ignore(syscall.SIGPIPE, syscall.SIGHUP)
			ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
			defer stop()
			return start.Serve(ctx, log)
		},
	}
	serve.Flags().StringVar(&level, "log", "info", "least level that is logged: debug, info, warn, error")
	check := &cobra.Command{
		Use: "check", Short: "Check a configuration and say what it holds", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			start, err := read()
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
	all.AddCommand(serve, check, version)
	return all
}

func logger(level string) (*zap.Logger, error) {
	least, err := zap.ParseAtomicLevel(level)
	if err != nil {
		return nil, err
	}
	z := zap.NewProductionConfig()
	z.Level, z.DisableCaller, z.DisableStacktrace = least, true, true
	return z.Build()
}

// revision is what the build knows of its source.
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
