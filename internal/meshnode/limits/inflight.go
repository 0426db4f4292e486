package limits

// InFlight counts what is in flight under each key. The zero value is ready.
type InFlight struct {
	counts map[string]int
}

// Acquire adds one to the key unless that would pass limit; a limit of zero or
// less means none.
func (f *InFlight) Acquire(key string, limit int) bool {
	count := f.counts[key]
	if limit > 0 && count >= limit {
		return false
	}
	if f.counts == nil {
		f.counts = map[string]int{}
	}
	f.counts[key] = count + 1
	return true
}

// Release takes one off the key. Releasing what was not acquired is a broken
// invariant.
func (f *InFlight) Release(key string) {
	count := f.counts[key]
	if count <= 0 {
		panic("limits: release without acquire: " + key)
	}
	if count == 1 {
		delete(f.counts, key)
		return
	}
	f.counts[key] = count - 1
}

// Count returns what is in flight under the key.
func (f *InFlight) Count(key string) int { return f.counts[key] }
