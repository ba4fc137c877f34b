// Package tracer reads and writes recorded traces: JSON lines, one event a line,
// in order of time, that a replay feeds to the deciding packages.
//
// The first line is the deployment. Times are offsets from the start of the
// trace, held as identifier.Moment of the replay's one virtual clock. The parser
// is strict: a trace is either understood whole, or refused with an Error that
// names the line, so that a mistyped field never turns into a fault that
// silently did not happen.
package tracer
