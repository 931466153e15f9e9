//go:build !seeded

package sidecar

// injectedFault names a fault that is injected on purpose, to check that runs of scenarios detect it. Builds without the tag
// seeded inject none.
const injectedFault = ""
