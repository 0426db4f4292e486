package rollout

// Faults switches mechanisms off, so that the proofs of this package can be
// seen to fail without them. It is for tests only: the zero value, with every
// mechanism on, is the only one that keeps the promises.
type Faults struct {
	// SkipVersionCheck hands samples out however old they are.
	SkipVersionCheck bool
	// HandOutBeforeCommit hands samples out while their manifest is still
	// being committed.
	HandOutBeforeCommit bool
	// IgnoreLease hands samples out after the lease has lapsed.
	IgnoreLease bool
	// ReuseAttempts numbers attempts without the epoch, so that a new owner
	// uses its predecessor's numbers again.
	ReuseAttempts bool
	// IgnoreFence writes the row also where another owner wrote it since.
	IgnoreFence bool
}
