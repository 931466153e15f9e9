package main

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
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
		{"good", []string{"check", "--config", good}, "n7 listens on 127.0.0.1:1", ""},
		{"bad", []string{"check", "--config", bad}, "", "bad: not JSON"},
		{"bad, served", []string{"serve", "--config", bad}, "", "bad: not JSON"},
		{"missing", []string{"serve", "--config", bad + "x"}, "", "no such file"},
		{"none named", []string{"serve", "--config", ""}, "", "RELAY_CONFIG"},
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
