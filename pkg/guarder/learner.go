package guarder

import (
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/tabulator"
)

// Kind is a team's name for batches of the same sort of work, such as a program's name.
type Kind string

// KindKey identifies the batches that share one learned correction.
type KindKey struct {
	Team identifier.TeamID `cbor:"1,keyasint,omitempty"`
	Kind Kind              `cbor:"2,keyasint,omitempty"`
}

// Correction holds learned factors, in thousandths, by which declared amounts are
// multiplied.
type Correction struct {
	MilliCPUPermille int64 `cbor:"1,keyasint,omitempty" json:"milli-cpu-permille"`
	MemoryPermille   int64 `cbor:"2,keyasint,omitempty" json:"memory-permille"`
	RunTimePermille  int64 `cbor:"3,keyasint,omitempty" json:"run-time-permille"`
	// Samples counts the observed tasks.
	Samples int `cbor:"4,keyasint,omitempty" json:"samples"`
}

// Neutral is the correction that changes nothing, used for a kind without observations.
var Neutral = Correction{MilliCPUPermille: permille, MemoryPermille: permille, RunTimePermille: permille}

// The limits and rates of learning.
const (
	// minSamples is the number of observed tasks from which on a correction is applied.
	minSamples = 4
	// minFactor and maxFactor bound a factor, so that a few outliers can neither make a
	// task nearly free of charge nor too large for every worker.
	minFactor = permille / 4
	maxFactor = permille * 8
	// riseDivisor and fallDivisor divide the deviation that one task adds to a factor:
	// a declaration that is too small hurts neighbours, so factors rise fast and fall
	// slowly.
	riseDivisor = 2
	fallDivisor = 16
)

// Learner keeps a correction for each team and kind. Set Limit before use.
type Learner struct {
	// Limit is the maximum number of kinds kept; the least recently updated one is
	// evicted. Zero means no limit.
	Limit int

	corrections *tabulator.Table[KindKey, Correction]
}

// Observe updates the correction of a kind from a task that ended normally, given its
// declaration, highest usage and run time.
func (learner *Learner) Observe(key KindKey, declared Declaration, highest identifier.Resources, runTime time.Duration) {
	learner.prepare()
	correction := Neutral
	if known := learner.corrections.Get(key); known != nil {
		correction = *known
	}
	correction.MilliCPUPermille = adjustFactor(correction.MilliCPUPermille, int64(highest.MilliCPU), int64(declared.Need.MilliCPU))
	correction.MemoryPermille = adjustFactor(correction.MemoryPermille, int64(highest.Memory), int64(declared.Need.Memory))
	correction.RunTimePermille = adjustFactor(correction.RunTimePermille, int64(runTime/time.Microsecond), int64(declared.RunTime/time.Microsecond))
	correction.Samples++
	learner.corrections.Remove(key)
	learner.corrections.Put(key, &correction)
	learner.dropOldest()
}

// Correction returns the correction to apply to a kind: Neutral until enough tasks were
// observed.
func (learner *Learner) Correction(key KindKey) Correction {
	learner.prepare()
	known := learner.corrections.Get(key)
	if known == nil {
		return Neutral
	}
	return known.Effective()
}

// Known returns the learned correction of a kind, even if it has too few samples to
// apply.
func (learner *Learner) Known(key KindKey) Correction {
	learner.prepare()
	known := learner.corrections.Get(key)
	if known == nil {
		return Neutral
	}
	return *known
}

// Learned is the learned correction of one kind.
type Learned struct {
	Key        KindKey    `cbor:"1,keyasint,omitempty"`
	Correction Correction `cbor:"2,keyasint,omitempty"`
}

// All returns all corrections, the least recently updated first.
func (learner *Learner) All() []Learned {
	learner.prepare()
	var all []Learned
	learner.corrections.Each(func(key KindKey, correction *Correction) bool {
		all = append(all, Learned{Key: key, Correction: *correction})
		return true
	})
	return all
}

// Merge replaces the correction of a kind by another learner's, if that one has more
// samples.
func (learner *Learner) Merge(key KindKey, correction Correction) {
	if correction.Samples <= learner.Known(key).Samples {
		return
	}
	learner.corrections.Remove(key)
	learner.corrections.Put(key, &correction)
	learner.dropOldest()
}

// Effective returns the correction to apply: Neutral until enough tasks were observed.
func (correction Correction) Effective() Correction {
	if correction.Samples < minSamples {
		return Neutral
	}
	return correction
}

// Apply returns the corrected declaration. Run times are corrected both ways, resources
// only upwards: a task is charged at least its declaration until its own first report, so
// that an unusually large task among small ones gets the resources that it declared.
func (correction Correction) Apply(declared Declaration) Declaration {
	corrected := identifier.Resources{
		MilliCPU: declared.Need.MilliCPU * identifier.MilliCPU(correction.MilliCPUPermille) / permille,
		Memory:   declared.Need.Memory / permille * identifier.Bytes(correction.MemoryPermille),
	}
	declared.Need = declared.Need.Max(corrected)
	declared.RunTime = declared.RunTime / permille * time.Duration(correction.RunTimePermille)
	return declared
}

func (learner *Learner) dropOldest() {
	excess := learner.corrections.Len() - learner.Limit
	if learner.Limit == 0 || excess <= 0 {
		return
	}
	learner.corrections.Each(func(key KindKey, _ *Correction) bool {
		learner.corrections.Remove(key)
		excess--
		return excess > 0
	})
}

func (learner *Learner) prepare() {
	if learner.corrections == nil {
		learner.corrections = tabulator.New[KindKey, Correction]()
	}
}

// adjustFactor moves a factor towards the ratio of observed to declared of one task.
func adjustFactor(factor, observed, declared int64) int64 {
	if declared <= 0 {
		return factor
	}
	ratio := observed * permille / declared
	divisor := int64(fallDivisor)
	if ratio > factor {
		divisor = riseDivisor
	}
	factor += (ratio - factor) / divisor
	return min(max(factor, minFactor), maxFactor)
}
