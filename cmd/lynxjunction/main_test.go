package main

import (
	"bytes"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestCommands(t *testing.T) {
	good, bad := filepath.Join(t.TempDir(), "good"), filepath.Join(t.TempDir(), "bad")
	assert.NoError(t, os.WriteFile(good, []byte(`{"name":"n7","seed":"1","listen":"127.0.0.1:1","discovery":"127.0.0.1:2",`+
		`"settings":{"products":[{"name":"p"}]}}`), 0o600))
	assert.NoError(t, os.WriteFile(bad, []byte("{\n"), 0o600))
	for _, c := range []struct {
		name       string
		args       []string
		out, fault string
	}{
		{"valid", []string{"check", "--config", good}, "n7 listens on 127.0.0.1:1", ""},
		{"invalid", []string{"check", "--config", bad}, "", "bad: not JSON"},
		{"invalid, serve", []string{"serve", "--config", bad}, "", "bad: not JSON"},
		{"missing", []string{"serve", "--config", bad + "x"}, "", "no such file"},
		{"no file given", []string{"serve", "--config", ""}, "", "RELAY_CONFIG"},
		{"no such level", []string{"serve", "--config", good, "--log", "loud"}, "", "loud"},
		{"no such command", []string{"dance"}, "", "unknown command"},
		{"version", []string{"version"}, "lynxjunction", ""},
	} {
		var out bytes.Buffer
		all := root()
		all.SetArgs(c.args)
		all.SetOut(&out)
		err := all.Execute()
		assert.Contains(t, out.String(), c.out, c.name)
		if c.fault == "" {
			assert.NoError(t, err, c.name)
			continue
		}
		assert.ErrorContains(t, err, c.fault, c.name)
		assert.NotContains(t, err.Error(), "\n", c.name)
	}
}

// A blocked log reader must not block the callers of the logger.
func TestLoggerNeverBlocks(t *testing.T) {
	in, out := io.Pipe()
	log, err := newLogger("info", out)
	assert.NoError(t, err)
	for range 5000 {
		log.Info("line")
	}
	assert.ErrorIs(t, log.Sync(), os.ErrDeadlineExceeded)
	read := make(chan string)
	go func() {
		text, _ := io.ReadAll(in)
		read <- string(text)
	}()
	assert.Eventually(t, func() bool { return log.Sync() == nil }, 5*time.Second, time.Millisecond)
	out.Close()
	text := <-read
	assert.Contains(t, text, `"msg":"line"`)
	assert.GreaterOrEqual(t, strings.Count(text, "\n"), 1000)
}

// SIGHUP must never terminate the process: it reloads the start file each time, also shortly before and after SIGTERM.
func TestSignals(t *testing.T) {
	path, calls := filepath.Join(t.TempDir(), "start"), make(chan string)
	discoveries := []string{}
	for range 2 {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		defer ln.Close()
		addr := ln.Addr().String()
		discoveries = append(discoveries, addr)
		go func() {
			for {
				c, err := ln.Accept()
				if err != nil {
					return
				}
				defer c.Close()
				calls <- addr
			}
		}()
	}
	write := func(text string) {
		require.NoError(t, os.WriteFile(path+"new", []byte(text), 0o600))
		require.NoError(t, os.Rename(path+"new", path))
	}
	ended := make(chan error)
	for n := range 5 {
		write(`{"name":"n7","seed":"1","listen":"127.0.0.1:0","discovery":"` + discoveries[n%2] + `",` +
			`"settings":{"products":[{"name":"p","abandon-time":1}]}}`)
		if n == 0 {
			all := root()
			all.SetArgs([]string{"serve", "--config", path, "--log", "error"})
			go func() { ended <- all.Execute() }()
		} else {
			require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
		}
		assert.Equal(t, discoveries[n%2], <-calls)
	}
	write("{")
	for _, s := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP} {
		require.NoError(t, syscall.Kill(os.Getpid(), s))
	}
	assert.NoError(t, <-ended)
}
