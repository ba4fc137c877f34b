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
	pageSweep = `
## On the users' platform, by its own sweep

One day played at 10, 30 and 102 machines of the system with 100, 300 and 1,000 backend servers, the busiest process of each role;
the power is that by which it grows with the machines, and the last column carries it on to the 5,170 machines that the users'
largest deployment names as its target, which were not played. 300 machines were begun on another site and ended: their 300
processes took some 15 GB together, over half of the memory of the machine that plays them; three of them had 135 to 145 MB each
soon after the start, where the row on keepers below leads one to expect 61 MB. A part was 57.6 KB for each other host.

| role | figure | 30 | 102 | power | at 5,170 | bound there |
|---|---|---|---|---|---|---|
| entry host | processor | 17.4 % | 24.9 % | -0.03 | 24.9 % | its share of a core |
| entry host | memory | 17.6 MB | 35.9 MB | 0.33 | 131 MB | 184 MB |
| entry host | bytes a second | 107 KB | 124 KB | -0.44 | 124 KB | 3.1 MB |
| entry host | connections | 262 | 523 | 0.37 | 2,265 | 4,100 descriptors |
| entry host | new connections a second | 11.7 | 22.5 | 0.33 | 82 | |
| keeper | processor | 0.97 % | 1.9 % | 0.43 | 10.6 % | its share of a core |
| keeper | memory | 14.3 MB | 33.4 MB | 0.56 | 309 MB | 336 MB |
| keeper | bytes a second | 49 KB | 181 KB | 0.82 | 4.6 MB | 125 MB |
| keeper | connections | 93 | 299 | 0.94 | 12,423 | 4,096 descriptors: **no**, from some 1,400 machines |
| keeper | configuration acknowledged, at worst | 35 ms | 104 ms | 0.32 | 371 ms | 6 s |
| all | serving after all were killed | 0.5 s | 0.5 s | 0 | 0.5 s | 15 s |

The first bound is the keepers' descriptors: every host connects to every keeper, and keepers to every host. A host would have to
keep connections to a few keepers and pass on what it hears. A backend server's connections don't grow with the machines: its starters
are at most 24 entry hosts, whatever the deployment's size (TestCallersOfAServerAreBounded).
`
	pageFleet = `
## The whole fleet: what this page foretold, and what was measured

235 entry hosts (0.192 of a core, 184 MB, 25 Mbit/s), 25 keepers (0.96 of a core, 664 MB), 2,500 backend servers in five failure
domains, 760 jobs/s of 2,700 starts/s. The busiest process of each role; "foretold" carries the sweep of the table above on from
102 machines by its power. ` + "`examples/sizes/fleet.json`" + ` and ` + "`twice-the-fleet.json`" + ` print the first tables for this size and for twice.
The baseline's days were played beside tests of a sitting (load 5 to 15 of 16 cores), the last day alone.

| role | figure | foretold at 260 | baseline, quiet day | baseline, rough day | rough day after the mends |
|---|---|---|---|---|---|
| entry host | processor, of its share | 24 % | 53 % (mean 10 %) | 51 % (mean 17 %) | 59 % (mean 10 %) |
| entry host | memory at its peak | 49 MB | 119 MB (mean 59) | 121 MB (mean 86) | 89 MB (mean 42) |
| entry host | bytes a second | 82 KB | 879 KB (mean 44) | 537 KB (mean 91) | 483 KB (mean 52) |
| entry host | descriptors | 739 | 2,463 | 1,562 | 1,634 |
| entry host | new connections a second | 31 | 446 | 86 | 84 |
| keeper | processor, of its share | 2.8 % | 3.5 % | 5.1 % | 3.0 % |
| keeper | memory at its peak | 56 MB | 79 MB | 97 MB | 66 MB |
| keeper | bytes a second | 390 KB | 446 KB | 600 KB | 227 KB |
| keeper | descriptors | 720 | 605 | 622 | 603 |
| all | configuration acknowledged, at worst | 140 ms | 964 ms | 854 ms | 772 ms |

Where the page was wrong:

- **Entry hosts' bytes** are set by the lead, and a lead's by its backend servers times the keepers: the sweep grew the keepers from
  one to five, where they are few. There was no row for what a lead sends to keepers or to hosts that return.
- **Entry hosts' memory**: 57.6 KB of heap for each other host, used or not, stood in no row; it is below 4 KB now.
- **Entry hosts' descriptors** follow starters times backend servers of a failure domain, not the hosts.
- **Processor of the membership**: the slope was taken at rest. A change of many hosts together cost hosts times hosts.
- **The planner's row** (2.00% of a core) doesn't apply where no intents run, and the bound of 12 hosts for control is met by 25 keepers
  because the deployment says so.

What grows in virtual time, TestTrafficBySize -long, the busiest entry host, at 130 and 260 hosts, and its power:

| while | before | after | power after |
|---|---|---|---|
| 2% of the backend servers leave, 2 s | 107.7 and 798.9 KB | 10.7 and 30.1 KB | 1.5 (reports to the hosts of the domain) |
| a lead is lost, 5 s | 129.5 and 599.6 KB | 35.1 and 86.4 KB | 1.3 |
| a third of the hosts returns, 3 s | not measured | 205.4 and 767.4 KB | 1.9: **no**, from some 500 hosts its link is full for a second |
| calm, 5 s | 4.1 and 4.4 KB | 4.1 and 4.4 KB | 0.1 |
`
	pageMixed = `
## A fleet of hosts of two sizes

Three failure domains, each with 8 or 9 small entry hosts and 2 large ones, two cells a failure domain, 844 jobs/s of 2,998 tasks/s in all.
The limits are those that a host derives from its stated capacity (FitCapacity in pkg/loader). The processor of a lead is worked out from the lead's
part of the slopes, 299 µs a job and 21.7 µs a task, at 141 jobs/s and 500 tasks/s a cell; it was not run.

| host | connections an address | bodies of waiting jobs | remembered jobs | processor, leading one cell | leads |
|---|---|---|---|---|---|
| 0.144 of a core, 144 MB, 3,075 descriptors, 19 Mbit/s | 1,537 | 36 MiB | 28,212 | 37 % of its share | while both large hosts are lost, and one cell until the second one has returned |
| 0.48 of a core, 424 MB, 10,250 descriptors, 62 Mbit/s | 5,125 | 106 MiB | 83,071 | 11 % of its share | one cell, two while the other large host is lost |
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
- In real processes 260 hosts were run, and 260 in virtual time; what stands for 520 and 5,170 is extrapolated.
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
	page.WriteString(pageSweep)
	page.WriteString(pageFleet)
	page.WriteString(pageMixed)
	page.WriteString(pageTail)
	return page.String()
}
