package batch

import (
	"fmt"
	"hash/fnv"
)

// ownerSlots is the number of streams that one owner serves at once. A stream
// brings some 25 events a second, and an event costs an owner about 40 us
// (docs/CAPACITY.md): 600 streams take 0.6 of a core.
const ownerSlots = 600

// ownerKey returns the key that jobs are assigned to nodes by: one for a service
// that one node can serve, one a model for a larger one, and one a share of the
// jobs for a still larger one. It is pure.
func ownerKey(service, model, job string, slots, models int) string {
	shards := (slots + ownerSlots - 1) / ownerSlots
	switch {
	case shards <= 1:
		return service
	case shards <= models:
		return service + "/" + model
	}
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(job))
	return shardKey(service, int(hash.Sum32()%uint32(shards)))
}

func shardKey(service string, shard int) string { return fmt.Sprintf("%s/%d", service, shard) }

// OwnerKeys returns all keys that jobs of a service with some slots and models may be
// assigned by, ordered. It is pure.
func OwnerKeys(service string, models []string, slots int) []string {
	shards := (slots + ownerSlots - 1) / ownerSlots
	if shards <= 1 {
		return []string{service}
	}
	if shards <= len(models) {
		keys := make([]string, 0, len(models))
		for _, model := range models {
			keys = append(keys, service+"/"+model)
		}
		return keys
	}
	keys := make([]string, 0, shards)
	for shard := range shards {
		keys = append(keys, shardKey(service, shard))
	}
	return keys
}
