package batch

import (
	"bytes"
	"slices"
)

// text is the output of an item's runs so far.
type text struct {
	events [][]byte
	// versions holds the version of the weights that produced each event.
	versions []int64
	// complete is set once the stream of events has ended.
	complete bool
	// score is the score that the call with the ID scorer returned for the complete text.
	score, scorer string
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

// put keeps a text and drops the oldest ones beyond maxKeptTexts.
func (k *keptTexts) put(item string, made text, of residency) {
	if _, found := k.texts[item]; !found {
		k.order = append(k.order, item)
	}
	k.texts[item] = keptText{text: made, residency: of}
	for len(k.order) > maxKeptTexts {
		delete(k.texts, k.order[0])
		k.order = k.order[1:]
	}
}

// take returns the text kept for an item, which stays in k.
func (k *keptTexts) take(item string) (text, bool) {
	kept, found := k.texts[item]
	return kept.text, found
}
