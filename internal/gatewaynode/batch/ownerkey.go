package batch

import (
	"fmt"
	"hash/fnv"
)

// slotsPerOwner is the number of slots that one owner serves, and thus of the streams whose
// events it handles. It limits the CPU usage of an owner: a stream has some 25 events a second
// and an event costs about 40 us, so that 600 streams take 0.6 of a core (docs/CAPACITY.md).
const slotsPerOwner = 600

// ownerKey returns the key that is hashed to choose the owner of a job. A service
// whose slots one node can serve has a single key. A larger one has a key per model
// or, if there are too few models, a key per shard of the job IDs.
func ownerKey(service, model, job string, slots, models int) string {
	shards := (slots + slotsPerOwner - 1) / slotsPerOwner
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

// shardKey returns the owner key of a shard of a service's jobs.
func shardKey(service string, shard int) string { return fmt.Sprintf("%s/%d", service, shard) }

// OwnerKeys returns all owner keys that jobs of a service may have, in the order of
// models or shards.
func OwnerKeys(service string, models []string, slots int) []string {
	shards := (slots + slotsPerOwner - 1) / slotsPerOwner
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
