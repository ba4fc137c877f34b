package digester

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
)

// generations is the number of parts into which a set divides the retention. A digest is kept for
// the retention less up to one part.
const generations = 8

// entry is a digest with its kind and the time at which its submission was recorded.
type entry struct {
	digest     messenger.SubmissionDigest
	kind       messenger.DigestKind
	recordedAt identifier.Moment
}

// generation holds the digests of one kind and one part of the retention.
type generation struct {
	kind messenger.DigestKind
	// startsAt is the earliest time at which its submissions were recorded.
	startsAt identifier.Moment
	digests  []messenger.SubmissionDigest
}

// generationKey identifies a generation. Numbers rise with time.
type generationKey struct {
	number int64
	kind   messenger.DigestKind
}

func compareKeys(first, second generationKey) int {
	return cmp.Or(cmp.Compare(first.number, second.number), cmp.Compare(first.kind, second.kind))
}

// digestSet is the set of digests of one home. It removes them a generation at a time, so that no
// digest needs a timer of its own.
type digestSet struct {
	retention   time.Duration
	kinds       map[messenger.SubmissionDigest]messenger.DigestKind
	generations map[generationKey]*generation
	// full is set while the set has reached its maximum.
	full bool
}

func newDigestSet(retention time.Duration) *digestSet {
	return &digestSet{
		retention:   retention,
		kinds:       make(map[messenger.SubmissionDigest]messenger.DigestKind),
		generations: make(map[generationKey]*generation),
	}
}

// kindOf returns the kind of a digest, DigestNone if it isn't in the set.
func (set *digestSet) kindOf(digest messenger.SubmissionDigest) messenger.DigestKind {
	return set.kinds[digest]
}

func (set *digestSet) count() int { return len(set.kinds) }

// nextGenerationAt returns when the generation after that of a moment begins, which is when the
// oldest one is over.
func nextGenerationAt(moment identifier.Moment, retention time.Duration) identifier.Moment {
	length := retention / generations
	return identifier.Moment((floorDivide(moment, length) + 1) * int64(length))
}

// floorDivide rounds towards negative infinity: what was recorded before this host started has a
// negative moment.
func floorDivide(moment identifier.Moment, length time.Duration) int64 {
	quotient := int64(moment) / int64(length)
	if moment < 0 && int64(moment)%int64(length) != 0 {
		quotient--
	}
	return quotient
}

// numberOf returns the number of the generation of a moment.
func (set *digestSet) numberOf(moment identifier.Moment) int64 {
	return floorDivide(moment, set.retention/generations)
}

// expired reports whether digests recorded at a moment are not kept any more.
func (set *digestSet) expired(recordedAt, now identifier.Moment) bool {
	return set.numberOf(recordedAt) <= set.numberOf(now)-generations
}

func (set *digestSet) add(added entry) {
	key := generationKey{number: set.numberOf(added.recordedAt), kind: added.kind}
	known := set.generations[key]
	if known == nil {
		known = &generation{kind: added.kind, startsAt: added.recordedAt}
		set.generations[key] = known
	}
	known.startsAt = identifier.Earlier(known.startsAt, added.recordedAt)
	known.digests = append(known.digests, added.digest)
	set.kinds[added.digest] = added.kind
}

// expire removes the generations that are over. A digest that was replaced by one of a later kind
// stays until that one is over.
func (set *digestSet) expire(now identifier.Moment) {
	for key, generation := range set.generations {
		if key.number > set.numberOf(now)-generations {
			continue
		}
		for _, digest := range generation.digests {
			if set.kinds[digest] == key.kind {
				delete(set.kinds, digest)
			}
		}
		delete(set.generations, key)
		set.full = false
	}
}

// since returns the generations with digests that were recorded at a moment or later, in order.
func (set *digestSet) since(moment identifier.Moment) []*generation {
	var found []*generation
	for _, key := range slices.SortedFunc(maps.Keys(set.generations), compareKeys) {
		if key.number >= set.numberOf(moment) {
			found = append(found, set.generations[key])
		}
	}
	return found
}
