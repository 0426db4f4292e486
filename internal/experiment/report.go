package experiment

import (
	"fmt"
	"math"
	"os"
	"path/filepath"
	"strings"

	"github.com/zeebo/errs/v2"
)

// pageName is the page's name in its folder.
const pageName = "report.md"

// WriteReport writes a page with tables and its plots into the folder and
// returns the page's path.
func WriteReport(folder string, results []Result) (string, error) {
	sites := summarise(results)
	if len(sites) == 0 {
		return "", errs.Errorf("no results")
	}
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return "", errs.Wrap(err)
	}
	var page strings.Builder
	page.WriteString("# Routing and scheduling compared\n\n")
	page.WriteString("Means over seeds, with the standard deviation after ±. The bound is the clairvoyant lower bound of idle time; alone is the lowest 99th percentile of live latency of any policy without training.\n")
	for _, s := range sites {
		s.write(&page)
		if err := s.plot(folder); err != nil {
			return "", err
		}
	}
	path := filepath.Join(folder, pageName)
	return path, errs.Wrap(os.WriteFile(path, []byte(page.String()), 0o644))
}

// siteSummary is the results of one scenario.
type siteSummary struct {
	name     string
	policies []*policySummary
	// aloneP99MS is the lowest mean of any policy.
	aloneP99MS float64
}

// policySummary is the results of one policy, one for each seed.
type policySummary struct {
	name     string
	results  []Result
	baseline map[int64]Result
}

// summarise groups results by scenario and policy in order of appearance.
func summarise(results []Result) []*siteSummary {
	var sites []*siteSummary
	for _, result := range results {
		site := find(&sites, func(s *siteSummary) bool { return s.name == result.Site }, &siteSummary{name: result.Site})
		policy := find(&site.policies, func(p *policySummary) bool { return p.name == result.Policy }, &policySummary{name: result.Policy})
		policy.results = append(policy.results, result)
	}
	for _, site := range sites {
		site.relate()
	}
	return sites
}

// find returns the entry that matches, and appends fresh if there is none.
func find[T any](entries *[]*T, match func(*T) bool, fresh *T) *T {
	for _, entry := range *entries {
		if match(entry) {
			return entry
		}
	}
	*entries = append(*entries, fresh)
	return fresh
}

// relate gives every policy the baseline's results.
func (s *siteSummary) relate() {
	baseline := map[int64]Result{}
	s.aloneP99MS = math.Inf(1)
	for _, p := range s.policies {
		for _, result := range p.results {
			if result.Baseline {
				baseline[result.Seed] = result
			}
		}
		mean, _ := p.spread(func(r Result) float64 { return r.AloneP99MS })
		s.aloneP99MS = min(s.aloneP99MS, mean)
	}
	for _, p := range s.policies {
		p.baseline = baseline
	}
}

// spread returns mean and standard deviation of a value over the seeds.
func (p *policySummary) spread(value func(Result) float64) (mean, deviation float64) {
	for _, result := range p.results {
		mean += value(result) / float64(len(p.results))
	}
	for _, result := range p.results {
		deviation += (value(result) - mean) * (value(result) - mean) / float64(len(p.results))
	}
	return mean, math.Sqrt(deviation)
}

// text formats mean and deviation with so many decimals.
func (p *policySummary) text(decimals int, value func(Result) float64) string {
	mean, deviation := p.spread(value)
	return fmt.Sprintf("%.*f ± %.*f", decimals, mean, decimals, deviation)
}

func (p *policySummary) greatest(value func(Result) int64) int64 {
	var greatest int64
	for _, result := range p.results {
		greatest = max(greatest, value(result))
	}
	return greatest
}

// ofBaseline returns the ratio to the baseline's idle time with the same seed;
// not a number if there is none.
func (p *policySummary) ofBaseline(r Result) float64 {
	baseline, ok := p.baseline[r.Seed]
	if !ok {
		return math.NaN()
	}
	return r.IdleSeconds / baseline.IdleSeconds
}

func (s *siteSummary) write(page *strings.Builder) {
	fmt.Fprintf(page, "\n## %s\n\n%d seeds, lower bound %s s of idle time.\n\n", s.name, len(s.policies[0].results),
		s.policies[0].text(0, func(r Result) float64 { return r.LowerBoundSeconds }))
	page.WriteString("| policy | idle s | idle share | of baseline | of bound | mean staleness | max | live p50 ms | live p99 ms | p99 of alone |\n")
	page.WriteString("|---|---|---|---|---|---|---|---|---|---|\n")
	for _, p := range s.policies {
		cells := []string{
			p.name,
			p.text(0, func(r Result) float64 { return r.IdleSeconds }),
			p.text(3, func(r Result) float64 { return r.IdleShare }),
			p.text(3, p.ofBaseline),
			p.text(2, func(r Result) float64 { return r.IdleSeconds / r.LowerBoundSeconds }),
			p.text(3, func(r Result) float64 { return r.MeanStaleness }),
			fmt.Sprint(p.greatest(func(r Result) int64 { return r.MaxStaleness })),
			p.text(0, func(r Result) float64 { return r.LiveP50MS }),
			p.text(0, func(r Result) float64 { return r.LiveP99MS }),
			p.text(2, func(r Result) float64 { return r.LiveP99MS / s.aloneP99MS }),
		}
		fmt.Fprintf(page, "| %s |\n", strings.Join(cells, " | "))
	}
	s.writeCosts(page)
	fmt.Fprintf(page, "\n![idle share](%s)\n\n![live latency](%s)\n", s.idlePlot(), s.latencyPlot())
}

// writeCosts writes what the policies spent.
func (s *siteSummary) writeCosts(page *strings.Builder) {
	page.WriteString("\n| policy | wasted tokens | extra attempts | moves | stale reruns | preemptions | refusals | broken streams | bound breaches |\n")
	page.WriteString("|---|---|---|---|---|---|---|---|---|\n")
	for _, p := range s.policies {
		share := func(r Result) float64 { return 100 * float64(r.WastedTokens) / float64(r.Tokens) }
		cells := []string{
			p.name,
			p.text(2, share) + " %",
			p.text(0, func(r Result) float64 { return float64(r.ExtraAttempts) }),
			p.text(0, func(r Result) float64 { return float64(r.Moves) }),
			p.text(0, func(r Result) float64 { return float64(r.StaleReruns) }),
			p.text(0, func(r Result) float64 { return float64(r.Preemptions) }),
			p.text(0, func(r Result) float64 { return float64(r.Refusals) }),
			p.text(0, func(r Result) float64 { return float64(r.BrokenStreams) }),
			fmt.Sprint(p.greatest(func(r Result) int64 { return r.BoundBreaches })),
		}
		fmt.Fprintf(page, "| %s |\n", strings.Join(cells, " | "))
	}
}
