package faulttest

import (
	"maps"
	"slices"
	"strings"

	"github.com/zeebo/errs/v2"

	"github.com/sliplift/sliplift/internal/meshnode/node"
)

// switches are the mechanisms that a story can do without, by name.
var switches = map[string]func(*node.Faults){
	"streams-own-versions":   func(f *node.Faults) { f.VersionsFromConfiguration = true },
	"version-check":          func(f *node.Faults) { f.Rollout.SkipVersionCheck = true },
	"commit-before-hand-out": func(f *node.Faults) { f.Rollout.HandOutBeforeCommit = true },
	"step-lease":             func(f *node.Faults) { f.Rollout.IgnoreLease = true },
	"step-fence":             func(f *node.Faults) { f.Rollout.IgnoreFence = true },
	"frame-checks":           func(f *node.Faults) { f.Engine.TrustFrames = true },
	"refused-only-if-unsent": func(f *node.Faults) { f.Dispatch.RefuseAfterSending = true },
	"claims":                 func(f *node.Faults) { f.Claim.GrantAlways = true },
	"abstaining":             func(f *node.Faults) { f.Claim.RestartedVotes = true },
	"drains":                 func(f *node.Faults) { f.IgnoreDrains = true },
	"waiting-stop":           func(f *node.Faults) { f.CutOnStop = true },
	"monotone-revisions":     func(f *node.Faults) { f.Configlog.ApplyLowerRevisions = true },
}

// Without returns the faults that switch the named mechanisms off.
func Without(names ...string) (node.Faults, error) {
	var faults node.Faults
	for _, name := range names {
		set, known := switches[name]
		if !known {
			return faults, errs.Errorf("no mechanism %q, only %s", name, strings.Join(slices.Sorted(maps.Keys(switches)), ", "))
		}
		set(&faults)
	}
	return faults, nil
}
