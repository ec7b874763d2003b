// Package e2e holds the failure tests of the whole system: fleets of the real
// binaries as processes on loopback, with faults in them, between them and in
// what surrounds them. It has no code of its own.
//
// No test measures time. Where a guarantee says "within seconds" a test waits
// for the outcome at most promptBound, several times what the guarantee
// asks, so that a busy machine does not decide the verdict.
package e2e
