// Package generator generates synthetic traces from a set of parameters. The same
// parameters, including the seed, give the same trace.
//
// The load is exact: arrivals follow a Poisson process, whose times are then
// scaled so that the run times of all generated tasks add up to the requested share
// of all slots. Bursts change the arrival rate within them; the load outside of
// bursts stays as requested.
package generator
