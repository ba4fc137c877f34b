// Package replayer replays recorded traces through the deciding packages in virtual time
// and checks the results.
//
// The dispatcher's guarantees are checked against what the fake backend servers and the
// callers observed, never against the dispatcher's own state, which would hide a start
// that the dispatcher forgot.
package replayer
