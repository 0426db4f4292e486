package batch

import (
	"bytes"
	"slices"
)

// text is the output of an item's runs so far. Its slices have one owner, the item or the keptTexts
// that holds it: an event is added in place, so texts that shared an array would overwrite each
// other's events. Whoever hands a text to another owner hands over a clone.
type text struct {
	events [][]byte
	// versions holds the version of the weights that produced each event.
	versions []int64
	// complete is set once the stream of events has ended.
	complete bool
	// score is the score that the call with the ID scorer returned for the complete text.
	score, scorer string
}

// clone returns a copy that shares no slice with t. The data of an event never changes and is
// shared.
func (t text) clone() text {
	t.events = slices.Clone(t.events)
	t.versions = slices.Clone(t.versions)
	return t
}

// add appends an event and the version of the weights that produced it.
func (t *text) add(event []byte, version int64) {
	t.events = append(t.events, event)
	t.versions = append(t.versions, version)
}

// scoredBy reports whether the text has a score from the given scorer, or needs none because
// scorer is nil.
func (t text) scoredBy(scorer *Scorer) bool {
	return scorer == nil || t.scorer == scorer.ID && t.score != ""
}

// fits reports whether all events were produced by weights of at least minVersion and, if
// singleVersion is set, by the same version.
func (t text) fits(minVersion int64, singleVersion bool) bool {
	for _, version := range t.versions {
		if version < minVersion || singleVersion && version != t.versions[0] {
			return false
		}
	}
	return true
}

// requiredVersion returns the version that must produce the remaining events, 0 if any may.
func (t text) requiredVersion(singleVersion bool) int64 {
	if !singleVersion || len(t.versions) == 0 {
		return 0
	}
	return t.versions[0]
}

// longer reports whether t is complete and other is not, or t has more events.
func (t text) longer(other text) bool {
	return t.complete && !other.complete || len(t.events) > len(other.events)
}

// join returns the events, one per line, and the distinct versions that produced them in
// ascending order.
func (t text) join() (string, []int64) {
	versions := slices.Clone(t.versions)
	slices.Sort(versions)
	return string(bytes.Join(t.events, []byte("\n"))), slices.Compact(versions)
}

// maxKeptTexts is the maximum number of texts kept for later jobs.
const maxKeptTexts = 600

// keptTexts keeps the texts of the latest items by item ID, so that a later job with the same
// item can continue them.
type keptTexts struct {
	texts map[string]keptText
	// order holds the item IDs, oldest first.
	order []string
}

// keptText is a text with the residency of the job that it belongs to.
type keptText struct {
	text      text
	residency residency
}

func newKeptTexts() keptTexts { return keptTexts{texts: make(map[string]keptText)} }

// put keeps a clone of a text and drops the oldest texts beyond maxKeptTexts.
func (k *keptTexts) put(item string, made text, of residency) {
	if _, found := k.texts[item]; !found {
		k.order = append(k.order, item)
	}
	k.texts[item] = keptText{text: made.clone(), residency: of}
	for len(k.order) > maxKeptTexts {
		delete(k.texts, k.order[0])
		k.order = k.order[1:]
	}
}

// get returns a clone of the text kept for an item. Several open jobs may have the same item and
// continue its text.
func (k *keptTexts) get(item string) (text, bool) {
	kept, found := k.texts[item]
	return kept.text.clone(), found
}
