// Package generator makes traces from a few parameters. The same parameters,
// seed included, give the same trace.
//
// The load is exact: arrivals follow a Poisson process, whose times are then
// scaled so that the run times of all generated tasks add up to the wanted share
// of all slots. Bursts change the rate of arrivals and leave the calm load as it
// was asked for.
package generator
