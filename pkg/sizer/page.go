package sizer

import "strings"

// The texts of docs/CAPACITY.md between its tables.
const (
	pageHead = `# Capacity

For each role its state, messages, processor time and memory, worked out from slopes that were measured, and the
mechanism that carries each. This page is the output of ` + "`stoathitch capacity --page`" + `; a test keeps both the same.
` + "`stoathitch capacity --size FILE`" + ` prints the tables for another size, ` + "`--slopes FILE`" + ` with slopes of your own.

The measured figures come from one machine of 12 cores that other work shared, with small stand-ins. What lies beyond the
measured points is extrapolated along the fit and has not been run. Processor time is CPU time, so a busy machine moves
it less than it moves latencies. The width of jobs, the mean run time, the share of not-repeatable jobs and the sizes of
answers and configurations at the planned size are assumptions of ours; they stand in the first line of each table.

## The planned size

`
	pageToday = `
## Today's size

`
	pageSlopes = `
## Measured slopes

`
	pageTail = `
## What does not fit yet, and what is not measured

- The configuration is fetched as a whole. At the planned rate its bytes are the largest part of a daemon's control
  traffic; sending changes only is the next step if documents grow beyond what the table assumes.
- The processor time of control is over its bound on the host that drives a failure domain's intents; on the others it is
  the sum without the planner. Cells could divide the planner as they divide the jobs; that division is not built.
- The register of claims is one, in memory on each keeper, and bounded at 4 million. Two percent of not-repeatable jobs
  fill it within a day at the planned size. It has to be divided and its fingerprints have to go to disk.
- Claims of all regions go through one log. The rate fits; the round trip between regions that are far apart is not in
  the figures.
- Nothing here was run at 200 hosts in real processes; membership was run at that size in virtual time.
`
)

// Page returns docs/CAPACITY.md.
func Page(slopes *Slopes) string {
	var page strings.Builder
	page.WriteString(pageHead)
	Render(&page, Calculate(Planned(), slopes))
	page.WriteString(pageToday)
	Render(&page, Calculate(Today(), slopes))
	page.WriteString(pageSlopes)
	RenderSlopes(&page, slopes)
	page.WriteString(pageTail)
	return page.String()
}
