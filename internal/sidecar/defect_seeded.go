//go:build seeded

package sidecar

import "os"

// injectedFault names the fault that this process injects, "" for none.
var injectedFault = os.Getenv("LYNXJUNCTION_DEFECT")
