package guarder

import (
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/tabulator"
)

// Kind names what a team's batches have in common, such as a program's name.
type Kind string

// KindKey tells the batches that are learned of together.
type KindKey struct {
	Team identifier.TeamID `cbor:"1,keyasint,omitempty"`
	Kind Kind              `cbor:"2,keyasint,omitempty"`
}

// Correction is what was learned of declarations: factors in thousandths by
// which the declared amounts are multiplied.
type Correction struct {
	MilliCPUPermille int64 `cbor:"1,keyasint,omitempty" json:"milli-cpu-permille"`
	MemoryPermille   int64 `cbor:"2,keyasint,omitempty" json:"memory-permille"`
	RunTimePermille  int64 `cbor:"3,keyasint,omitempty" json:"run-time-permille"`
	// Samples counts the tasks that were learned from.
	Samples int `cbor:"4,keyasint,omitempty" json:"samples"`
}

// Neutral is the correction of a kind of which nothing was learned.
var Neutral = Correction{MilliCPUPermille: permille, MemoryPermille: permille, RunTimePermille: permille}

// The bounds of what is learned.
const (
	// leastSamples is the number of tasks from which a correction is applied.
	leastSamples = 4
	// lowestFactor and highestFactor bound a factor, so that a few odd tasks can
	// neither make a task free nor bar it from every worker.
	lowestFactor  = permille / 4
	highestFactor = permille * 8
	// riseDivisor and fallDivisor say how much of a deviation is taken over from
	// one task: too small a declaration hurts neighbours, so factors rise fast
	// and fall slowly.
	riseDivisor = 2
	fallDivisor = 16
)

// Learner keeps corrections for each team and kind. Set Limit before use.
type Learner struct {
	// Limit is the highest number of kinds kept; the one that was learned of
	// longest ago gives way.
	Limit int

	corrections *tabulator.Table[KindKey, Correction]
}

// Observe learns from a task that ended normally.
func (learner *Learner) Observe(key KindKey, declared Declaration, highest identifier.Resources, runTime time.Duration) {
	learner.prepare()
	correction := Neutral
	if known := learner.corrections.Get(key); known != nil {
		correction = *known
	}
	correction.MilliCPUPermille = follow(correction.MilliCPUPermille, int64(highest.MilliCPU), int64(declared.Need.MilliCPU))
	correction.MemoryPermille = follow(correction.MemoryPermille, int64(highest.Memory), int64(declared.Need.Memory))
	correction.RunTimePermille = follow(correction.RunTimePermille, int64(runTime/time.Microsecond), int64(declared.RunTime/time.Microsecond))
	correction.Samples++
	learner.corrections.Remove(key)
	learner.corrections.Put(key, &correction)
	learner.dropOldest()
}

// Correction returns what applies to a kind: Neutral until enough was seen.
func (learner *Learner) Correction(key KindKey) Correction {
	learner.prepare()
	known := learner.corrections.Get(key)
	if known == nil {
		return Neutral
	}
	return known.Effective()
}

// Known returns all that was learned of a kind, even if it is too little to apply.
func (learner *Learner) Known(key KindKey) Correction {
	learner.prepare()
	known := learner.corrections.Get(key)
	if known == nil {
		return Neutral
	}
	return *known
}

// Learned is what is known of one kind.
type Learned struct {
	Key        KindKey    `cbor:"1,keyasint,omitempty"`
	Correction Correction `cbor:"2,keyasint,omitempty"`
}

// All returns everything known, what was learned longest ago first.
func (learner *Learner) All() []Learned {
	learner.prepare()
	var all []Learned
	learner.corrections.Each(func(key KindKey, correction *Correction) bool {
		all = append(all, Learned{Key: key, Correction: *correction})
		return true
	})
	return all
}

// Seed takes over what another learner knew, if it saw more tasks than this one.
func (learner *Learner) Seed(key KindKey, correction Correction) {
	if correction.Samples <= learner.Known(key).Samples {
		return
	}
	learner.corrections.Remove(key)
	learner.corrections.Put(key, &correction)
	learner.dropOldest()
}

// Effective returns what is to be applied: nothing until enough tasks were seen.
func (correction Correction) Effective() Correction {
	if correction.Samples < leastSamples {
		return Neutral
	}
	return correction
}

// Apply returns the corrected declaration. Run times are corrected both ways,
// resources only upwards: a task is charged at least its declaration until its
// own first report, so that an odd large task among small ones finds its room.
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
	keys := learner.corrections.Len() - learner.Limit
	if learner.Limit == 0 || keys <= 0 {
		return
	}
	learner.corrections.Each(func(key KindKey, _ *Correction) bool {
		learner.corrections.Remove(key)
		keys--
		return keys > 0
	})
}

func (learner *Learner) prepare() {
	if learner.corrections == nil {
		learner.corrections = tabulator.New[KindKey, Correction]()
	}
}

// follow moves a factor towards what one task showed.
func follow(factor, observed, declared int64) int64 {
	if declared <= 0 {
		return factor
	}
	shown := observed * permille / declared
	divisor := int64(fallDivisor)
	if shown > factor {
		divisor = riseDivisor
	}
	factor += (shown - factor) / divisor
	return min(max(factor, lowestFactor), highestFactor)
}
