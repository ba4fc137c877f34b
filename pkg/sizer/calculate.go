package sizer

import "fmt"

// The users' bounds on control for one daemon, and today's hosts.
const (
	controlCoreShare   = 0.011
	controlMemoryBytes = 64e6
	controlBytesPerSec = 9e3
	controlHostsMost   = 12
	entryHostCores     = 2
	secondsPerDay      = 86400.0
	// claimsKeptMost is the bound of the keepers' register of claims.
	claimsKeptMost = 4e6
)

// Names of the slopes that the calculation needs.
const (
	slopeEntryTask        = "entry-cpu-per-task"
	slopeEntryJob         = "entry-cpu-per-job"
	slopeRecordBytes      = "record-bytes"
	slopeTeamBytes        = "team-bytes"
	slopeServerBytes      = "server-stream-bytes"
	slopeGossipRest       = "gossip-bytes-at-rest"
	slopeGossipPerHost    = "gossip-bytes-per-host"
	slopeGossipCPU        = "gossip-cpu-per-host"
	slopeGossipHeap       = "gossip-heap-per-host"
	slopeHeartbeatCPU     = "heartbeat-cpu"
	slopeHeartbeatBytes   = "heartbeat-bytes"
	slopeLogCommandCPU    = "log-command-cpu"
	slopeLogIdleBytes     = "log-idle-bytes"
	slopeJournalPerSecond = "journal-appends-per-second"
	slopeClaimBytes       = "claim-bytes"
	slopePlannerServerCPU = "planner-cpu-per-worker"
	slopeDaemonHeap       = "daemon-idle-memory"
	slopeDaemonCPU        = "daemon-idle-cpu"
)

func neededSlopes() []string {
	return []string{
		slopeEntryTask, slopeEntryJob, slopeRecordBytes, slopeTeamBytes, slopeServerBytes,
		slopeGossipRest, slopeGossipPerHost, slopeGossipCPU, slopeGossipHeap, slopeHeartbeatCPU,
		slopeHeartbeatBytes, slopeLogCommandCPU, slopeLogIdleBytes, slopeJournalPerSecond, slopeClaimBytes,
		slopePlannerServerCPU, slopeDaemonHeap, slopeDaemonCPU,
	}
}

// Row is one line of the capacity tables: one part of one role.
type Row struct {
	Role      string `json:"role"`
	Part      string `json:"part"`
	State     string `json:"state"`
	Messages  string `json:"messages"`
	Processor string `json:"processor"`
	Memory    string `json:"memory"`
	Mechanism string `json:"mechanism"`
}

// Check compares one result with its bound.
type Check struct {
	What   string `json:"what"`
	Value  string `json:"value"`
	Bound  string `json:"bound"`
	Fits   bool   `json:"fits"`
	Advice string `json:"advice,omitempty"`
}

// Result is what a size needs.
type Result struct {
	Size   Size    `json:"size"`
	Rows   []Row   `json:"rows"`
	Checks []Check `json:"checks"`
}

// demand is a size broken down to one failure domain and one host.
type demand struct {
	Size
	startsPerDomain float64
	jobsPerDomain   float64
	workersPerDom   float64
	hostsPerDomain  float64
	claimsPerSecond float64
	startsPerHost   float64
	jobsPerHost     float64
}

func newDemand(size Size) demand {
	domains := float64(size.FailureDomains)
	result := demand{
		Size:            size,
		startsPerDomain: size.StartsPerSec / domains,
		workersPerDom:   float64(size.Workers) / domains,
		hostsPerDomain:  float64(size.Hosts) / domains,
	}
	result.jobsPerDomain = result.startsPerDomain / size.TasksPerJob
	result.claimsPerSecond = size.StartsPerSec / size.TasksPerJob * size.NotRepeatableShare
	result.startsPerHost = result.startsPerDomain / result.hostsPerDomain
	result.jobsPerHost = result.jobsPerDomain / result.hostsPerDomain
	return result
}

// Calculate works out what a size needs. Callers and cells are taken to be spread
// evenly over the hosts of a failure domain.
func Calculate(size Size, slopes *Slopes) *Result {
	demand := newDemand(size)
	result := &Result{Size: size}
	result.Rows = append(result.Rows,
		entryRow(demand, slopes),
		recordsRow(demand, slopes),
		limitsRow(demand, slopes),
		serversRow(demand, slopes),
		membershipRow(demand, slopes),
		configurationRow(demand),
		plannerRow(demand, slopes),
		logRow(demand, slopes),
		claimsRow(demand, slopes),
	)
	result.Checks = append(result.Checks,
		dataPathCheck(demand, slopes),
		controlProcessorCheck(demand, slopes),
		controlBytesCheck(demand, slopes),
		controlMemoryCheck(demand, slopes),
		keepersCheck(demand),
		claimsCheck(demand, slopes),
		claimsKeptCheck(demand),
	)
	return result
}

// coreShare turns microseconds of processor time a second into a part of a core.
func coreShare(microsPerSecond float64) float64 { return microsPerSecond / 1e6 }

func percent(share float64) string { return fmt.Sprintf("%.2f%% of a core", share*100) }

func bytes(value float64) string {
	switch {
	case value >= 1e9:
		return fmt.Sprintf("%.1f GB", value/1e9)
	case value >= 1e6:
		return fmt.Sprintf("%.1f MB", value/1e6)
	case value >= 1e3:
		return fmt.Sprintf("%.1f KB", value/1e3)
	default:
		return fmt.Sprintf("%.0f B", value)
	}
}

func rate(value float64, what string) string { return fmt.Sprintf("%.0f %s/s", value, what) }
