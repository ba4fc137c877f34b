// Package integration proves the promises of the system over real processes: it
// builds the programs, starts daemons and stand-in backend servers on loopback,
// submits jobs and changes the configuration while it kills, stops and restarts
// processes, and judges by what callers saw and by the record of what started.
//
// Everything lives in test files. A plain run takes the short scenarios only;
// with -long the storm runs too, for -minutes.
package integration
