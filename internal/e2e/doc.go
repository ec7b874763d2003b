// Package e2e holds the end-to-end failure tests of the system. Each test runs a
// fleet of the real binaries as processes on loopback and injects faults into
// the processes, the connections between them, and the platform and upstreams
// that they depend on. The package has tests only and exports no code.
//
// No test measures time. Where a guarantee says "within seconds", a test waits
// for the outcome for at most promptTimeout, several times what the guarantee
// allows, so that the result does not depend on the load of the machine.
package e2e
