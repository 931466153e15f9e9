//go:build seeded

package sidecar

import "os"

var injectedFault = os.Getenv("LYNXJUNCTION_DEFECT")
