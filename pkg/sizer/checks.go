package sizer

import "fmt"

// dataPathCheck tells how much of an entry host's processor the jobs take.
func dataPathCheck(demand demand, slopes *Slopes) Check {
	cores := coreShare(entryMicros(demand, slopes))
	return Check{
		What:   "data path, cores of an entry host",
		Value:  fmt.Sprintf("%.2f", cores),
		Bound:  fmt.Sprintf("%d", entryHostCores),
		Fits:   cores <= entryHostCores,
		Advice: "more entry hosts a failure domain; cells spread the load over them",
	}
}

// controlProcessorCheck adds up what a daemon does without any job. The planner
// runs on one host of each failure domain; the check is for that one.
func controlProcessorCheck(demand demand, slopes *Slopes) Check {
	micros := slopes.value(slopeDaemonCPU) + float64(demand.Hosts)*slopes.value(slopeGossipCPU) +
		heartbeatsPerSecond(demand)*slopes.value(slopeHeartbeatCPU) +
		demand.workersPerDom*slopes.value(slopePlannerServerCPU)
	share := coreShare(micros)
	return Check{
		What:   "control, processor of the busiest daemon",
		Value:  percent(share),
		Bound:  percent(controlCoreShare),
		Fits:   share <= controlCoreShare,
		Advice: "divide a failure domain's intents over its hosts by cell, as jobs are; the rest is mostly waking up for each message of the membership",
	}
}

func controlBytesCheck(demand demand, slopes *Slopes) Check {
	value := gossipBytes(demand, slopes) + configBytesPerSecond(demand)
	return Check{
		What:   "control between daemons, bytes a second",
		Value:  bytes(value),
		Bound:  bytes(controlBytesPerSec),
		Fits:   value <= controlBytesPerSec,
		Advice: "send changes of the configuration instead of the whole document; let one host of a failure domain confirm versions for all of it",
	}
}

func controlMemoryCheck(demand demand, slopes *Slopes) Check {
	value := slopes.value(slopeDaemonHeap) + float64(demand.Hosts)*slopes.value(slopeGossipHeap) +
		demand.workersPerDom*slopes.value(slopeServerBytes) + float64(demand.Teams)*slopes.value(slopeTeamBytes) +
		demand.ConfigBytes
	return Check{
		What:   "control, memory of a daemon",
		Value:  bytes(value),
		Bound:  bytes(controlMemoryBytes),
		Fits:   value <= controlMemoryBytes,
		Advice: "let a backend server attach to the hosts that lead its cell and one deputy only",
	}
}

func keepersCheck(demand demand) Check {
	return Check{
		What:   "hosts set aside for control",
		Value:  fmt.Sprintf("%d", demand.Keepers),
		Bound:  fmt.Sprintf("%d", controlHostsMost),
		Fits:   demand.Keepers <= controlHostsMost,
		Advice: "keepers may also be entry hosts with a disk",
	}
}

func claimsCheck(demand demand, slopes *Slopes) Check {
	most := slopes.value(slopeJournalPerSecond)
	return Check{
		What:   "claims a second against what the journal takes with a 4 ms sync",
		Value:  fmt.Sprintf("%.0f", demand.claimsPerSecond),
		Bound:  fmt.Sprintf("%.0f", most),
		Fits:   demand.claimsPerSecond <= most,
		Advice: "one log a region, the claim homed by the job's key",
	}
}

// claimsKeptCheck compares the claims of a day with the bound of the register.
func claimsKeptCheck(demand demand) Check {
	kept := demand.claimsPerSecond * secondsPerDay
	return Check{
		What:   "claims of a day against the register's bound",
		Value:  fmt.Sprintf("%.1f million", kept/1e6),
		Bound:  fmt.Sprintf("%.1f million", claimsKeptMost/1e6),
		Fits:   kept <= claimsKeptMost,
		Advice: "divide the register by the home of the job and keep fingerprints on disk in sorted files; until then a full register refuses new claims, it never forgets one",
	}
}
