package gossiper

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// updateDigest recomputes an entity's hash and the digest after the entity's state changed. Lost
// members are left out of the digest, because hosts forget them at different times.
func (gossiper *Gossiper) updateDigest(entity *memberEntity) {
	gossiper.digest ^= entity.hash
	entity.hash = 0
	entity.recordsHash = 0
	entity.records.Each(func(_ string, record *Record) bool {
		entity.recordsHash ^= hashRecord(*record)
		return true
	})
	if entity.state.Living() {
		entity.hash = hashState(entity.state, entity.recordsHash)
	}
	gossiper.digest ^= entity.hash
}

func (gossiper *Gossiper) putRecord(entity *memberEntity, record Record) {
	entity.records.Put(record.Key, &record)
	gossiper.updateDigest(entity)
}

func hashState(state State, recordsHash uint64) uint64 {
	buffer := append([]byte(state.Member.Host), 0)
	buffer = binary.LittleEndian.AppendUint64(buffer, uint64(state.Member.Incarnation))
	buffer = binary.LittleEndian.AppendUint64(buffer, state.Refutation)
	buffer = binary.LittleEndian.AppendUint64(buffer, recordsHash)
	return xxhash.Sum64(buffer)
}

func hashRecord(record Record) uint64 {
	buffer := append([]byte(record.Key), 0)
	buffer = binary.LittleEndian.AppendUint64(buffer, record.Version)
	buffer = append(buffer, record.Value...)
	return xxhash.Sum64(buffer)
}
