//go:build race

package rig

func init() { raceEnabled = true }
