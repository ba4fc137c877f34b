package sizer

import "fmt"

// entryRow is the whole way of a job through its entry hosts: HTTP, the second
// copy, the lead of its cell and the streams of the backend servers.
func entryRow(demand demand, slopes *Slopes) Row {
	return Row{
		Role: "entry host", Part: "jobs (receiver, forwarder, dispatcher, connections)",
		State:     fmt.Sprintf("%.0f running tasks", demand.startsPerHost*demand.MeanRunTimeSeconds),
		Messages:  rate(demand.jobsPerHost, "jobs") + ", " + rate(demand.startsPerHost*2, "starts and answers") + " in batches",
		Processor: percent(coreShare(entryMicros(demand, slopes))),
		Memory:    bytes(demand.startsPerHost * demand.MeanRunTimeSeconds * demand.AnswerBytes * 2),
		Mechanism: "cells divide a failure domain's workers and submissions over its entry hosts by hash; messages are batched for each tick",
	}
}

// entryMicros is the processor time that jobs take on one host, in microseconds a
// second.
func entryMicros(demand demand, slopes *Slopes) float64 {
	return demand.jobsPerHost*slopes.value(slopeEntryJob) + demand.startsPerHost*slopes.value(slopeEntryTask)
}

func recordsRow(demand demand, slopes *Slopes) Row {
	kept := demand.jobsPerHost * demand.RetentionSeconds * 2
	perJob := slopes.value(slopeRecordBytes) + demand.TasksPerJob*demand.AnswerBytes
	return Row{
		Role: "entry host", Part: "answers kept for resends",
		State:     fmt.Sprintf("%.0f submissions at two hosts each", kept),
		Messages:  rate(demand.jobsPerHost, "copies"),
		Processor: "in the row above",
		Memory:    bytes(kept * perJob),
		Mechanism: "kept for the answer retention only; bounded by jobs-in-memory",
	}
}

func limitsRow(demand demand, slopes *Slopes) Row {
	return Row{
		Role: "entry host", Part: "limits and fair queue of a cell",
		State:     fmt.Sprintf("%d teams", demand.Teams),
		Messages:  "none",
		Processor: "in the row of jobs",
		Memory:    bytes(float64(demand.Teams) * slopes.value(slopeTeamBytes)),
		Mechanism: "quotas divided over cells; no message on a job's way",
	}
}

// heartbeatsPerSecond is how many heartbeats reach one entry host: each backend
// server sends two a second to the host that leads its cell, and one in five
// seconds to the others.
func heartbeatsPerSecond(demand demand) float64 {
	const toLead, toOthers = 2.0, 0.2
	led := demand.workersPerDom / demand.hostsPerDomain
	return led*toLead + (demand.workersPerDom-led)*toOthers
}

func serversRow(demand demand, slopes *Slopes) Row {
	beats := heartbeatsPerSecond(demand)
	return Row{
		Role: "entry host", Part: "backend servers' streams",
		State:     fmt.Sprintf("%.0f streams", demand.workersPerDom),
		Messages:  rate(beats, "heartbeats") + ", " + bytes(beats*slopes.value(slopeHeartbeatBytes)) + "/s",
		Processor: percent(coreShare(beats * slopes.value(slopeHeartbeatCPU))),
		Memory:    bytes(demand.workersPerDom * slopes.value(slopeServerBytes)),
		Mechanism: "a backend server attaches to its failure domain's hosts only, and sends heartbeats often only to the lead of its cell",
	}
}

func membershipRow(demand demand, slopes *Slopes) Row {
	hosts := float64(demand.Hosts)
	return Row{
		Role: "every daemon", Part: "membership (gossiper, elector)",
		State:     fmt.Sprintf("%d hosts", demand.Hosts),
		Messages:  bytes(gossipBytes(demand, slopes)) + "/s sent",
		Processor: percent(coreShare(hosts * slopes.value(slopeGossipCPU))),
		Memory:    bytes(hosts * slopes.value(slopeGossipHeap)),
		Mechanism: "probes whose number does not depend on the hosts; updates ride on them",
	}
}

func gossipBytes(demand demand, slopes *Slopes) float64 {
	return slopes.value(slopeGossipRest) + float64(demand.Hosts)*slopes.value(slopeGossipPerHost)
}

func configBytesPerSecond(demand demand) float64 {
	return demand.ChangesPerDay / secondsPerDay * demand.ConfigBytes
}

func configurationRow(demand demand) Row {
	return Row{
		Role: "every daemon", Part: "configuration",
		State:     "the version in force",
		Messages:  fmt.Sprintf("%.3f changes/s, %s/s received and sent on", demand.ChangesPerDay/secondsPerDay, bytes(configBytesPerSecond(demand))),
		Processor: "below the membership's",
		Memory:    bytes(demand.ConfigBytes),
		Mechanism: "the version number spreads with the membership; the document is fetched once from a host that has it",
	}
}

func plannerRow(demand demand, slopes *Slopes) Row {
	return Row{
		Role: "entry host", Part: "intents of a failure domain (planner)",
		State:     fmt.Sprintf("%.0f workers", demand.workersPerDom),
		Messages:  "usage reports and leases, on the workers' heartbeats",
		Processor: percent(coreShare(demand.workersPerDom * slopes.value(slopePlannerServerCPU))),
		Memory:    "see INTENTS.md",
		Mechanism: "one driver a failure domain; a scored sample of 16 workers a placement",
	}
}

func logRow(demand demand, slopes *Slopes) Row {
	commands := demand.claimsPerSecond + demand.ChangesPerDay/secondsPerDay
	return Row{
		Role: "keeper", Part: "replicated log (replicator, journaler)",
		State:     "entries since the last snapshot",
		Messages:  bytes(float64(demand.Keepers-1)*slopes.value(slopeLogIdleBytes)) + "/s idle from the leader; claims in batches",
		Processor: percent(coreShare(commands * slopes.value(slopeLogCommandCPU))),
		Memory:    "1,000 entries behind the snapshot",
		Mechanism: "group commit: one sync for all that waits; snapshots each 10,000 entries",
	}
}

func claimsRow(demand demand, slopes *Slopes) Row {
	claims := demand.claimsPerSecond * secondsPerDay
	return Row{
		Role: "keeper", Part: "claims of not-repeatable jobs",
		State:     fmt.Sprintf("%.0f claims of a day", claims),
		Messages:  rate(demand.claimsPerSecond, "claims"),
		Processor: "in the row above",
		Memory:    bytes(claims * slopes.value(slopeClaimBytes)),
		Mechanism: "whole for a day, then a fingerprint of 8 bytes",
	}
}
