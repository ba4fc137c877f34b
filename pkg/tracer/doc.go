// Package tracer reads and writes trace files: JSON lines with one event per
// line, ordered by time. A replay feeds these events to the deciding packages.
//
// The first line is the deployment. Times are offsets from the start of the
// trace, held as identifier.Moment of the replay's single virtual clock. The
// parser is strict: it accepts a trace as a whole or returns an Error with the
// line number. A mistyped field would otherwise drop a fault from the replay
// without notice.
package tracer
