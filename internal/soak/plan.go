package soak

import (
	"cmp"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"time"
)

// kind is what fails.
type kind string

// The kinds of faults.
const (
	// killNode kills a node and starts it again after the fault's time.
	killNode kind = "kill"
	// killAll does so with all nodes.
	killAll kind = "kill_all"
	// pauseNode stops a node's process and lets it go on.
	pauseNode kind = "pause"
	// stopNode asks a node to stop in order, and starts it again.
	stopNode kind = "stop"
	// storeWay lets the connections between a node and the store fail.
	storeWay kind = "store_way"
	// storeAway lets the store fail for all.
	storeAway kind = "store_away"
	// storeLoses lets the store do writes and lose its answers, storeLate do them late.
	storeLoses kind = "store_loses"
	storeLate  kind = "store_late"
	// storeForgets drops the store's history.
	storeForgets kind = "store_forgets"
	// backendWay lets the connections to a back end fail.
	backendWay kind = "backend_way"
	// backendFails lets a back end fail requests, break streams off, lose answers, send
	// wrong bytes or stay mute.
	backendFails kind = "backend_fails"
	// dutiesFail lets calls of duties fail.
	dutiesFail kind = "duties_fail"
	// resets ends all connections of a node to the store and of a back end.
	resets kind = "resets"
	// keysChange takes a key away and gives it back.
	keysChange kind = "keys_change"
	// evacuateZone asks for nothing more to be sent to the samplers of a zone.
	evacuateZone kind = "evacuate"
	// coldSampler turns a back end cold; coldReturn takes those of a zone away, which come
	// back together, cold.
	coldSampler kind = "cold"
	coldReturn  kind = "cold_return"
	// zoneLoss takes the power of a zone away, zoneCut cuts its nodes off from the store.
	zoneLoss kind = "zone_loss"
	zoneCut  kind = "zone_cut"
	// deadly sends a request that ends the back ends which run it.
	deadly kind = "deadly"
	// signals sends signals that change nothing, one after the other, also into planned stops.
	signals kind = "signals"
)

var kinds = []kind{
	killNode, killAll, pauseNode, stopNode, storeWay, storeAway, storeLoses, storeLate, storeForgets, backendWay,
	backendFails, dutiesFail, resets, keysChange,
}

// zoneKinds happen to zones and their back ends, beside the others.
var zoneKinds = []kind{evacuateZone, coldSampler, coldReturn, zoneLoss, zoneCut}

// workKinds are of what requests do to back ends.
var workKinds = []kind{deadly}

// harmlessKinds must not be noticed by anybody.
var harmlessKinds = []kind{signals}

// fault is something that fails for a while.
type fault struct {
	at, lasts time.Duration
	kind      kind
	// target is a number from which the node or back end is taken.
	target int
	// way is the manner of a connection; variant chooses among the ways to fail.
	way     manner
	variant int
}

func (f fault) String() string {
	return fmt.Sprintf("%7.2f s for %5.2f s  %-13s target %d, way %s, variant %d", f.at.Seconds(), f.lasts.Seconds(), f.kind, f.target, f.way, f.variant)
}

const (
	// calmFirst is the time without faults at the start, calmLast at the end: enough for
	// whatever was accepted to be done.
	calmFirst = 4 * time.Second
	calmLast  = 20 * time.Second
	// gapMost is the most time between two faults, lastsMost the most that one lasts.
	gapMost   = 3 * time.Second
	lastsMost = 5 * time.Second
	// zoneGapMost is the most time between two faults of zones.
	zoneGapMost = 8 * time.Second
	// workGapMost is the most time between two spells of deadly requests.
	workGapMost = 16 * time.Second
	// harmlessGapMost is the most time between two faults that nobody notices.
	harmlessGapMost = 6 * time.Second
)

// draw returns the faults of a run that lasts so long, in order. Those of zones and of
// requests, and the harmless ones, are drawn by themselves, so that what else a seed gives does not
// depend on them.
func draw(seed uint64, lasts time.Duration) []fault {
	faults := drawKinds(rand.New(rand.NewPCG(seed, 1)), kinds, lasts, gapMost)
	faults = append(faults, drawKinds(rand.New(rand.NewPCG(seed, 2)), zoneKinds, lasts, zoneGapMost)...)
	faults = append(faults, drawKinds(rand.New(rand.NewPCG(seed, 3)), workKinds, lasts, workGapMost)...)
	faults = append(faults, drawKinds(rand.New(rand.NewPCG(seed, 4)), harmlessKinds, lasts, harmlessGapMost)...)
	slices.SortFunc(faults, func(a, b fault) int { return cmp.Compare(a.at, b.at) })
	return faults
}

// drawKinds returns faults of some kinds.
func drawKinds(random *rand.Rand, kinds []kind, lasts, gapMost time.Duration) []fault {
	var faults []fault
	for at := calmFirst; at < lasts-calmLast; at += time.Duration(random.Int64N(int64(gapMost))) {
		f := fault{
			at: at, lasts: 300*time.Millisecond + time.Duration(random.Int64N(int64(lastsMost))),
			kind: kinds[random.IntN(len(kinds))], target: random.IntN(1 << 16),
			way: manner(1 + random.IntN(int(deaf))), variant: random.IntN(1 << 16),
		}
		if f.kind == evacuateZone {
			// Long enough for what comes too late to be seen.
			f.lasts += evacuateWithin
		}
		f.lasts = min(f.lasts, lasts-calmLast-at+time.Second)
		faults = append(faults, f)
	}
	return faults
}

// writePlan prints the faults of a run.
func writePlan(w io.Writer, seed uint64, faults []fault) error {
	if _, err := fmt.Fprintf(w, "seed %d, %d faults\n", seed, len(faults)); err != nil {
		return err
	}
	for _, f := range faults {
		if _, err := fmt.Fprintln(w, f); err != nil {
			return err
		}
	}
	return nil
}
