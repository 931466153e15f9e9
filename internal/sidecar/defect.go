//go:build !seeded

package sidecar

// seeded names a defect sown on purpose, for the rehearsals' own checks. Builds for service have none.
const injectedFault = ""
