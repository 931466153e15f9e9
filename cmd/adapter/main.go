// Command adapter runs decision modules for the bench, which exchanges messages with it over standard input and output.
package main

import (
	"fmt"
	"os"
	"runtime/debug"

	"github.com/lynxjunction/lynxjunction/internal/wire"
)

func main() {
	debug.SetGCPercent(800) // the heaps are small: collecting rarely costs little memory and saves decision time
	if err := wire.NewHub(os.Stdin, os.Stdout).Run(); err != nil {
		fmt.Fprintln(os.Stderr, "adapter:", err)
		os.Exit(1)
	}
}
