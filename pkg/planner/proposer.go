package planner

import (
	"fmt"
	"slices"
	"time"

	"github.com/stoathitch/stoathitch/pkg/guarder"
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/placer"
)

// Confidences of an estimate, in per cent.
const (
	confidenceUnlearned = 50
	confidenceLearned   = 80
	confidenceQueued    = 20
)

// DefaultConfirmTimeout is the time after which an unconfirmed plan expires.
const DefaultConfirmTimeout = 10 * time.Minute

// Proposer makes plans. Set the exported fields before use.
type Proposer struct {
	// ConfirmTimeout is how long a plan can be confirmed.
	ConfirmTimeout time.Duration
	// Domains are those of all reachable failure domains, in order.
	Domains []DomainStatus
	// Quota is that of the intent's team over all failure domains.
	Quota placer.Quota
	// Correction returns the learned correction for a kind of batch; nil means no corrections.
	Correction func(key guarder.KindKey) guarder.Correction
}

// draft is the state of a plan in the making.
type draft struct {
	plan       Plan
	spec       Spec
	domains    []DomainStatus
	startDelay time.Duration
	endDelay   time.Duration
	queued     bool
	learned    bool
}

// Propose returns a plan for a spec, at wall, or all reasons for which it can never run
// and the nearest spec that would run. A plan without allotments and refusals means that
// there is none yet: call it again soon.
func (proposer *Proposer) Propose(wall WallTime, spec Spec) Plan {
	draft := &draft{spec: spec, domains: proposer.allowedDomains(spec), learned: true}
	draft.plan.Quota = proposer.Quota
	declared := proposer.correctedDeclarations(draft)
	if proposer.collectRefusals(draft, declared) {
		return draft.result()
	}
	for number, batch := range spec.Batches {
		batch.Need = declared[number].Need
		batch.RunTime = declared[number].RunTime
		proposer.allot(draft, number, batch)
	}
	proposer.estimate(draft, wall)
	return draft.plan
}

// result returns the refusals. While some workers may still be unknown, it returns a plan
// without allotments and with that reason instead, since the spec may fit later.
func (draft *draft) result() Plan {
	for _, status := range draft.domains {
		if status.WorkersUnknown {
			return Plan{Quota: draft.plan.Quota, Queued: "not all workers of " + string(status.FailureDomain) + " are known yet"}
		}
	}
	return draft.plan
}

// Outdated returns why an unconfirmed plan no longer holds, and a new plan: the old one can't
// run any more, loses a failure domain, can't start at once as it said, or would end far
// later than it says. If it still holds, it is returned with an empty reason.
func (proposer *Proposer) Outdated(wall WallTime, spec Spec, plan Plan) (string, Plan) {
	fresh := proposer.Propose(wall, spec)
	if len(fresh.Refusals) > 0 {
		return "it can no longer run", fresh
	}
	if len(fresh.Allotments) == 0 {
		return "", plan
	}
	for _, allotment := range plan.Allotments {
		if !slices.ContainsFunc(fresh.Allotments, func(other Allotment) bool { return other.FailureDomain == allotment.FailureDomain }) {
			return string(allotment.FailureDomain) + " can't be reached or has no room", fresh
		}
	}
	if plan.Queued == "" && fresh.Queued != "" {
		return "it can no longer start at once", fresh
	}
	was, is := plan.EndsAt-plan.StartsAt, fresh.EndsAt-wall
	if is > 2*was+WallTime(time.Minute/time.Millisecond) {
		return "it would end far later", fresh
	}
	return "", plan
}

// allowedDomains returns copies of the statuses of the failure domains in which the spec may run.
func (proposer *Proposer) allowedDomains(spec Spec) []DomainStatus {
	var domains []DomainStatus
	for _, status := range proposer.Domains {
		if len(spec.MayRun) == 0 || slices.Contains(spec.MayRun, status.FailureDomain) {
			status.Workers = slices.Clone(status.Workers)
			domains = append(domains, status)
		}
	}
	return domains
}

// correctedDeclarations returns the declarations with the learned corrections applied, and
// records these corrections in the plan.
func (proposer *Proposer) correctedDeclarations(draft *draft) []guarder.Declaration {
	var declared []guarder.Declaration
	for number, batch := range draft.spec.Batches {
		correction := guarder.Neutral
		if proposer.Correction != nil {
			correction = proposer.Correction(guarder.KindKey{Team: draft.spec.Team, Kind: batch.Kind})
		}
		if correction == guarder.Neutral {
			draft.learned = false
		} else {
			draft.plan.Corrections = append(draft.plan.Corrections, AppliedCorrection{Batch: number, Correction: correction})
		}
		declared = append(declared, correction.Apply(batch.Declaration()))
	}
	return declared
}

// allot splits a batch over the failure domains, in proportion to how many tasks fit now
// or, if not all fit now, to how many would fit if nothing ran.
func (proposer *Proposer) allot(draft *draft, number int, batch Batch) {
	weights := make([]int, len(draft.domains))
	sum := 0
	for position := range draft.domains {
		weights[position] = draft.domains[position].fitNow(batch.Need)
		sum += weights[position]
	}
	if sum < batch.Count {
		for position := range draft.domains {
			weights[position] = draft.domains[position].fitEmpty(batch.Need)
		}
	}
	from := 0
	for position, count := range split(batch.Count, weights) {
		if count == 0 {
			continue
		}
		status := &draft.domains[position]
		draft.plan.Allotments = append(draft.plan.Allotments, Allotment{
			Batch: number, FailureDomain: status.FailureDomain,
			From: from, To: from + count, Racks: status.byRack(batch.Need, count),
		})
		from += count
		draft.estimateBatch(status, batch, count, proposer.allowedAtOnce(draft, batch, count))
	}
}

// allowedAtOnce returns how many of the count tasks allotted to a failure domain may run at
// once under the team's quota.
func (proposer *Proposer) allowedAtOnce(draft *draft, batch Batch, count int) int {
	limit := proposer.Quota.Limit
	allowed := batch.Count
	if limit.MilliCPU > 0 {
		allowed = min(allowed, int(limit.MilliCPU/max(batch.Need.MilliCPU, 1)))
	}
	if limit.Memory > 0 {
		allowed = min(allowed, int(limit.Memory/max(batch.Need.Memory, 1)))
	}
	if limit.Accelerators > 0 && batch.Need.Accelerators > 0 {
		allowed = min(allowed, int(limit.Accelerators/batch.Need.Accelerators))
	}
	if proposer.Quota.TasksInFlight > 0 {
		allowed = min(allowed, proposer.Quota.TasksInFlight)
	}
	if allowed < batch.Count {
		draft.plan.Limited = fmt.Sprintf("the quota of %s lets %d tasks run at once", draft.spec.Team, allowed)
	}
	return max(allowed*count/batch.Count, 1)
}

// estimateBatch estimates when a failure domain's part of a batch starts and ends, and what
// it preempts.
func (draft *draft) estimateBatch(status *DomainStatus, batch Batch, count, allowed int) {
	now := status.fitNow(batch.Need)
	total := max(status.fitEmpty(batch.Need), 1)
	if allowed < count {
		now, total = min(now, allowed), min(total, allowed)
	}
	wait := time.Duration(0)
	if now == 0 {
		wait = max(time.Duration(status.workAhead(draft.spec.Urgency))*time.Second/time.Duration(max(int64(status.capacity().MilliCPU), 1)), time.Second)
	}
	if short := min(count, allowed) - now; short > 0 {
		draft.estimatePreemptions(status, batch.Need, short)
	}
	if now == 0 && status.preemptible(draft.spec.Urgency).Running == 0 {
		draft.queued = true
	}
	waves := (count + total - 1) / total
	if now < count {
		waves = max(waves, (count+max(now, total/2)-1)/max(now, total/2, 1))
	}
	draft.startDelay = max(draft.startDelay, wait)
	draft.endDelay = max(draft.endDelay, wait+time.Duration(waves)*batch.RunTime)
	draft.plan.Charged.Limit = draft.plan.Charged.Limit.Add(batch.Need.Times(min(count, total)))
	draft.plan.Charged.TasksInFlight += min(count, total)
	status.reserve(batch.Need, count)
}

// estimatePreemptions estimates how many less urgent tasks are preempted to start short more
// tasks.
func (draft *draft) estimatePreemptions(status *DomainStatus, need identifier.Resources, short int) {
	below := status.preemptible(draft.spec.Urgency)
	if below.Running == 0 || below.Used.MilliCPU == 0 {
		return
	}
	wanted := int64(need.MilliCPU) * int64(short) * int64(below.Running)
	tasks := min((wanted+int64(below.Used.MilliCPU)-1)/int64(below.Used.MilliCPU), int64(below.Running))
	draft.plan.Preemptions = append(draft.plan.Preemptions, Preemption{FailureDomain: status.FailureDomain, Tasks: int(tasks)})
}

// estimate sets the start, the end and the confidence of the plan.
func (proposer *Proposer) estimate(draft *draft, wall WallTime) {
	plan := &draft.plan
	plan.StartsAt = wall.Add(draft.startDelay)
	plan.EndsAt = wall.Add(draft.endDelay)
	plan.ConfirmUntil = wall.Add(proposer.ConfirmTimeout)
	plan.Confidence = confidenceUnlearned
	if draft.learned {
		plan.Confidence = confidenceLearned
	}
	if draft.queued {
		plan.Confidence = confidenceQueued
		plan.Queued = fmt.Sprintf("no worker has room now; a first start is expected in %s", draft.startDelay)
	}
	if !proposer.Quota.Allows(plan.Charged.Limit, plan.Charged.TasksInFlight-1, identifier.Resources{}) {
		plan.Confidence = min(plan.Confidence, confidenceQueued)
		plan.Charged.Limit = clip(plan.Charged.Limit, proposer.Quota.Limit)
		if proposer.Quota.TasksInFlight > 0 {
			plan.Charged.TasksInFlight = min(plan.Charged.TasksInFlight, proposer.Quota.TasksInFlight)
		}
	}
}

// clip bounds charged by the limits that are set.
func clip(charged, limit identifier.Resources) identifier.Resources {
	if limit.MilliCPU > 0 {
		charged.MilliCPU = min(charged.MilliCPU, limit.MilliCPU)
	}
	if limit.Memory > 0 {
		charged.Memory = min(charged.Memory, limit.Memory)
	}
	if limit.Accelerators > 0 {
		charged.Accelerators = min(charged.Accelerators, limit.Accelerators)
	}
	return charged
}
