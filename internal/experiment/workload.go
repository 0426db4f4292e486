package experiment

import (
	"fmt"
	"math"
	"math/rand"
	"strings"

	"github.com/sliplift/sliplift/internal/emulator/batch"
	"github.com/sliplift/sliplift/internal/meshnode/routing"
	"github.com/sliplift/sliplift/internal/settings"
)

// firstVersion is the version that engines have at the start.
const firstVersion = 1

// promptWork is a prompt of a step and the lengths of its samples.
type promptWork struct {
	text    string
	prefix  uint64
	lengths []int
}

// workload is what the seed fixes: lengths, prompts and groups.
type workload struct {
	scenario *settings.Experiment
	seed     int64
}

// randomFor returns the random source of one purpose, so that the draws of one
// do not depend on those of another.
func (w workload) randomFor(purpose string, numbers ...int) *rand.Rand {
	text := fmt.Sprint(w.seed, " ", purpose, numbers)
	return rand.New(rand.NewSource(int64(batch.PromptHash(text) >> 1)))
}

// step returns the prompts of a trainer's step.
func (w workload) step(trainer, step int) []promptWork {
	configured := w.scenario.Trainers[trainer]
	groups := w.groups(trainer)
	random := w.randomFor("step", trainer, step)
	prompts := make([]promptWork, configured.Prompts)
	for i := range prompts {
		group := random.Intn(len(groups))
		prefix := filler(fmt.Sprintf("%s group %d ", configured.Name, group), w.scenario.PrefixTokens)
		text := prefix + filler(fmt.Sprintf("step %d prompt %d ", step, i), w.scenario.PromptTokens)
		lengths := make([]int, configured.Samples)
		for k := range lengths {
			lengths[k] = w.length(random, groups[group])
		}
		prompts[i] = promptWork{text: text, prefix: routing.PrefixHash(text), lengths: lengths}
	}
	return prompts
}

// groups returns the mean deviation of each group of a trainer's prompts, in
// units of the logarithm of the length.
func (w workload) groups(trainer int) []float64 {
	random := w.randomFor("groups", trainer)
	groups := make([]float64, w.scenario.PromptGroups)
	for i := range groups {
		groups[i] = random.NormFloat64() * w.scenario.LengthSpread * math.Sqrt(w.scenario.GroupShare)
	}
	return groups
}

func (w workload) length(random *rand.Rand, group float64) int {
	lengths := w.scenario.ExperimentLengths
	own := random.NormFloat64() * lengths.LengthSpread * math.Sqrt(1-lengths.GroupShare)
	tokens := lengths.MedianTokens * math.Exp(group+own)
	if random.Float64() < lengths.LongShare {
		tokens *= lengths.LongFactor
	}
	return min(lengths.LongestTokens, max(1, int(math.Round(tokens))))
}

// filler returns text of so many tokens that begins with the label.
func filler(label string, tokens int) string {
	size := tokens * batch.BytesPerToken
	if len(label) >= size {
		return label[len(label)-size:]
	}
	return label + strings.Repeat(".", size-len(label))
}
