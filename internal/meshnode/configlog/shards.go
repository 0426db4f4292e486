package configlog

// backendsPerShard is the number of back ends that one control lease covers.
const backendsPerShard = 50

// ShardCount returns the number of shards for a pool of that many back ends. It
// is fixed when a pool is created, so that back ends do not move between leases
// as the pool grows.
func ShardCount(backends int) int {
	needed := (backends + backendsPerShard - 1) / backendsPerShard
	return min(max(1, needed), maxShards)
}
