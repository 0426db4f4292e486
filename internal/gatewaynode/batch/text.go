package batch

import (
	"bytes"
	"slices"
)

// text is what an item's runs have made so far: whole events, each with the
// version of the weights that made it. Event numbers begin at first.
type text struct {
	events   [][]byte
	versions []int64
	complete bool
	// score is what the call with the id scorer returned for the whole text.
	score, scorer string
}

// scoredBy tells whether the text has the score that an item's scorer gives, or
// needs none.
func (t text) scoredBy(scorer *Scorer) bool {
	return scorer == nil || t.scorer == scorer.ID && t.score != ""
}

// fits tells whether the text may be used under a bound on versions.
func (t text) fits(minVersion int64, singleVersion bool) bool {
	for _, version := range t.versions {
		if version < minVersion || singleVersion && version != t.versions[0] {
			return false
		}
	}
	return true
}

// only returns the version that the rest must have, 0 if any will do.
func (t text) only(singleVersion bool) int64 {
	if !singleVersion || len(t.versions) == 0 {
		return 0
	}
	return t.versions[0]
}

func (t text) longer(other text) bool {
	return t.complete && !other.complete || len(t.events) > len(other.events)
}

// join returns the text and the versions that made it, ascending.
func (t text) join() (string, []int64) {
	versions := slices.Clone(t.versions)
	slices.Sort(versions)
	return string(bytes.Join(t.events, []byte("\n"))), slices.Compact(versions)
}

// keptMost is the number of texts kept for later jobs.
const keptMost = 600

// keptTexts keeps texts of items of ended jobs, the newest.
type keptTexts struct {
	texts map[string]keptText
	order []string
}

// keptText is a text with what kind of job it belongs to.
type keptText struct {
	made text
	of   kind
}

func newKeptTexts() keptTexts { return keptTexts{texts: make(map[string]keptText)} }

func (k *keptTexts) put(item string, made text, of kind) {
	if _, found := k.texts[item]; !found {
		k.order = append(k.order, item)
	}
	k.texts[item] = keptText{made: made, of: of}
	for len(k.order) > keptMost {
		delete(k.texts, k.order[0])
		k.order = k.order[1:]
	}
}

func (k *keptTexts) take(item string) (text, bool) {
	kept, found := k.texts[item]
	return kept.made, found
}
