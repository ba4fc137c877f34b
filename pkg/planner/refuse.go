package planner

import (
	"fmt"
	"slices"
	"strings"

	"github.com/stoathitch/stoathitch/pkg/guarder"
	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// collectRefusals adds every reason for which the spec can never run, and the nearest spec
// that would run. It reports whether there is a refusal.
func (proposer *Proposer) collectRefusals(draft *draft, declared []guarder.Declaration) bool {
	nearest := draft.spec
	nearest.Batches = slices.Clone(draft.spec.Batches)
	nearest.MayRun = proposer.knownDomains(draft)
	domains := draft.domains
	if len(domains) == 0 {
		domains = proposer.Domains
		nearest.MayRun = nil
	}
	for number := range nearest.Batches {
		batch := &nearest.Batches[number]
		proposer.clipCorrection(domains, batch.Need, &declared[number].Need)
		need := declared[number].Need
		reduced := proposer.withinQuota(draft, number, need)
		fitting, fits := nearestWorker(domains, need)
		if !fits {
			draft.addRefusal(fmt.Sprintf("batch %d: a task needs %s, no worker has more than %s", number, formatResources(need), formatResources(fitting)))
		}
		reduced = reduced.Min(fitting)
		if reduced != need {
			batch.Need = reduced
		}
	}
	if len(draft.plan.Refusals) == 0 {
		return false
	}
	if !slices.ContainsFunc(nearest.Batches, func(batch Batch) bool { return batch.Need.MilliCPU <= 0 }) {
		draft.plan.Nearest = &nearest
	}
	return true
}

// clipCorrection reverts a correction that no worker or quota could hold, since the declared
// need may still run.
func (proposer *Proposer) clipCorrection(domains []DomainStatus, declared identifier.Resources, corrected *identifier.Resources) {
	_, fits := nearestWorker(domains, *corrected)
	if !fits || !proposer.Quota.Allows(identifier.Resources{}, 0, *corrected) {
		*corrected = declared
	}
}

// knownDomains returns the failure domains of the spec that exist, and adds a refusal if
// none does.
func (proposer *Proposer) knownDomains(draft *draft) []identifier.FailureDomain {
	var known, unknown []identifier.FailureDomain
	for _, domain := range draft.spec.MayRun {
		exists := slices.ContainsFunc(proposer.Domains, func(picture DomainStatus) bool { return picture.FailureDomain == domain })
		if exists {
			known = append(known, domain)
		} else {
			unknown = append(unknown, domain)
		}
	}
	if len(known) > 0 || len(draft.spec.MayRun) == 0 {
		return known
	}
	for _, domain := range unknown {
		draft.addRefusal(fmt.Sprintf("no failure domain %s is known", domain))
	}
	return nil
}

// withinQuota returns a need reduced to the limits of the team's quota, and adds a refusal
// if that is less than the need.
func (proposer *Proposer) withinQuota(draft *draft, number int, need identifier.Resources) identifier.Resources {
	if proposer.Quota.Allows(identifier.Resources{}, 0, need) {
		return need
	}
	limit := proposer.Quota.Limit
	draft.addRefusal(fmt.Sprintf("batch %d: a task needs %s, the quota of %s is %s", number, formatResources(need), draft.spec.Team, formatResources(limit)))
	if limit.MilliCPU > 0 {
		need.MilliCPU = min(need.MilliCPU, limit.MilliCPU)
	}
	if limit.Memory > 0 {
		need.Memory = min(need.Memory, limit.Memory)
	}
	if limit.Accelerators > 0 {
		need.Accelerators = min(need.Accelerators, limit.Accelerators)
	}
	return need
}

func (draft *draft) addRefusal(reason string) {
	draft.plan.Refusals = append(draft.plan.Refusals, reason)
}

// nearestWorker returns the largest part of a need that a single worker's capacity covers,
// and whether that is all of it.
func nearestWorker(domains []DomainStatus, need identifier.Resources) (identifier.Resources, bool) {
	var nearest identifier.Resources
	best := int64(-1)
	for _, status := range domains {
		for _, worker := range status.Workers {
			if need.Fits(worker.Capacity) {
				return need, true
			}
			part := need.Min(worker.Capacity)
			if near := coverage(part, need); near > best {
				nearest, best = part, near
			}
		}
	}
	return nearest, false
}

// coverage returns the product, over all resources, of the share of a need that a part
// covers, in thousandths.
func coverage(part, need identifier.Resources) int64 {
	const whole = 1000
	near := int64(1)
	for _, pair := range [][2]int64{
		{int64(part.MilliCPU), int64(need.MilliCPU)},
		{int64(part.Memory), int64(need.Memory)},
		{int64(part.Accelerators), int64(need.Accelerators)},
	} {
		if pair[1] > 0 {
			near *= pair[0] * whole / pair[1]
		} else {
			near *= whole
		}
	}
	return near
}

// formatResources lists the resources of a need as text.
func formatResources(need identifier.Resources) string {
	var parts []string
	if need.MilliCPU > 0 {
		parts = append(parts, fmt.Sprintf("%d milli-cpu", need.MilliCPU))
	}
	if need.Memory > 0 {
		parts = append(parts, fmt.Sprintf("%d bytes", need.Memory))
	}
	if need.Accelerators > 0 {
		parts = append(parts, fmt.Sprintf("%d accelerators", need.Accelerators))
	}
	if len(parts) == 0 {
		return "nothing"
	}
	return strings.Join(parts, ", ")
}
