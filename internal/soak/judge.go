package soak

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/sliplift/sliplift/platform/standin"
)

// Judge collects what callers saw and says what broke a promise. It is safe for
// concurrent use.
//
//   - A position of a batch job holds one result, the same at every node; an item
//     stands at one position; its text is the whole of what its requests make, and its
//     versions are among those that made it (promises 1, 3, 4).
//   - A job that was accepted is whole in the end, whatever fails (3).
//   - A 2xx answer is the one that the back end gave to this request (4).
//   - A request that was refused did not run (5), and one whose route and key are there
//     is not denied (9).
//   - A request that must not be repeated runs once at most (6).
//   - A planned stop cuts no request off (8).
//   - Back ends learn the tenant of a request, and no key.
//   - Orders to a back end come from one holder at a time, and fencing tokens rise.
//   - No window of the tenants' use is reported with two counts, and none with more than
//     began. Which requests a node counts is off by no more than usageOff.
//   - Within a bound nothing more comes to the samplers of an evacuated zone.
//   - What is bound to regions comes to no sampler of another one. Which nodes had its
//     body is not seen.
//   - A cold sampler gets no more in any second than it bears.
//   - Work ends soon for a caller that left.
type Judge struct {
	mu        sync.Mutex
	breaches  []string
	positions map[string]map[int]Result
	places    map[string]map[string]int
	answers   map[string]Answer
	left      map[string]departure
	counts    map[string]int
	// misjudged are the requests of each tenant that count and did not begin, and the other
	// way round.
	misjudged map[string][]Metered
}

// Result is a result of a batch job as it was read.
type Result struct {
	ID       string
	State    string
	Text     string
	Versions []int64
}

// Answer is how a live request ended.
type Answer struct {
	// Kind is "safe", "unsafe" or "bound", Tenant, on whose behalf the request was made,
	// Node, who had it.
	Kind, Tenant, Node string
	// Status is 0 for a request without an answer.
	Status      int
	Body, Stamp string
	// CutByStop tells that the connection ended without an answer while the node that
	// had the request was in a planned stop and nothing else failed.
	CutByStop bool
}

// NewJudge returns a judge that has seen nothing.
func NewJudge() *Judge {
	return &Judge{
		positions: make(map[string]map[int]Result), places: make(map[string]map[string]int),
		answers: make(map[string]Answer), left: make(map[string]departure), counts: make(map[string]int),
		misjudged: make(map[string][]Metered),
	}
}

// breach records that a promise was broken. The lock is held.
func (j *Judge) breach(format string, values ...any) {
	const most = 50
	if len(j.breaches) < most {
		j.breaches = append(j.breaches, fmt.Sprintf(format, values...))
	}
}

// Breaches returns what broke a promise.
func (j *Judge) Breaches() []string {
	j.mu.Lock()
	defer j.mu.Unlock()
	return slices.Clone(j.breaches)
}

// Count counts something for the summary.
func (j *Judge) Count(what string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.counts[what]++
}

// Counts returns what was counted.
func (j *Judge) Counts() map[string]int {
	j.mu.Lock()
	defer j.mu.Unlock()
	counts := make(map[string]int, len(j.counts))
	for what, count := range j.counts {
		counts[what] = count
	}
	return counts
}

// Read takes the results that a node listed from a position on.
func (j *Judge) Read(node, job string, after int, results []Result) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.positions[job] == nil {
		j.positions[job], j.places[job] = make(map[int]Result), make(map[string]int)
	}
	for i, result := range results {
		position := after + i
		before, known := j.positions[job][position]
		if known && (before.ID != result.ID || before.Text != result.Text || before.State != result.State || !slices.Equal(before.Versions, result.Versions)) {
			j.breach("%s: position %d of %s holds %s, and held %s before", node, position, job, result.ID, before.ID)
		}
		if place, listed := j.places[job][result.ID]; listed && place != position {
			j.breach("%s: item %s of %s stands at %d and at %d", node, result.ID, job, place, position)
		}
		j.positions[job][position], j.places[job][result.ID] = result, position
	}
}

// Denied takes a call about an accepted job, made with a key of its tenant, that a node
// answered as if there were no such job or key.
func (j *Judge) Denied(node, job string, status int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.breach("%s: %d for %s, which was accepted", node, status, job)
}

// Whole judges an accepted job at the end, when all of its items have to be listed.
func (j *Judge) Whole(job string, items []string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, item := range items {
		place, listed := j.places[job][item]
		if !listed {
			j.breach("%s: item %s of an accepted job is not listed", job, item)
			continue
		}
		result := j.positions[job][place]
		if want := wholeText(item); result.State == "completed" && result.Text != want {
			j.breach("%s: text of %s has %d bytes, want %d", job, item, len(result.Text), len(want))
		}
	}
	if len(j.places[job]) > len(items) {
		j.breach("%s: %d items are listed of %d", job, len(j.places[job]), len(items))
	}
}

// Answered takes how a live request ended.
func (j *Judge) Answered(id string, answer Answer) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.answers[id] = answer
	j.counts[fmt.Sprintf("%s %d", answer.Kind, answer.Status)]++
	if answer.CutByStop {
		j.breach("%s: cut off by a planned stop", id)
	}
}

// Runs judges what the back ends ran, at the end. tenants maps a job's item to its
// tenant.
func (j *Judge) Runs(runs []standin.Run, tenants map[string]string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	byID := make(map[string][]standin.Run)
	for _, run := range runs {
		byID[run.ID] = append(byID[run.ID], run)
		if run.Key != "" {
			j.breach("%s: the caller's key reached %s", run.ID, run.Sampler)
		}
		want, known := tenants[run.ID]
		if answer, live := j.answers[run.ID]; live {
			want, known = answer.Tenant, true
		}
		if known && run.Tenant != want {
			j.breach("%s: ran for tenant %q, want %q", run.ID, run.Tenant, want)
		}
	}
	for id, answer := range j.answers {
		j.judgeAnswer(id, answer, byID[id])
	}
	for job := range j.positions {
		for _, result := range j.positions[job] {
			j.judgeVersions(job, result, byID[result.ID])
		}
	}
}

// judgeAnswer judges a live request by its runs. The lock is held.
func (j *Judge) judgeAnswer(id string, answer Answer, runs []standin.Run) {
	refused := answer.Status == 408 || answer.Status == 421 || answer.Status == 429 || answer.Status == 503 || answer.Status == 401
	if refused && answer.Kind == "unsafe" && len(runs) > 0 {
		j.breach("%s: refused with %d, and ran %d times", id, answer.Status, len(runs))
	}
	if answer.Status >= 300 && answer.Status < 500 && !refused || answer.Status == 401 {
		j.breach("%s: denied with %d though route and key are there", id, answer.Status)
	}
	if answer.Kind == "unsafe" && len(runs) > 1 {
		j.breach("%s: must not be repeated, and ran %d times", id, len(runs))
	}
	if answer.Status != 200 {
		return
	}
	stamped := slices.ContainsFunc(runs, func(run standin.Run) bool { return standin.Stamp(run.Sampler, id) == answer.Stamp })
	if answer.Body != "answer to "+id || !stamped {
		j.breach("%s: answer %q with stamp %q of no run of its own", id, answer.Body, answer.Stamp)
	}
}

// judgeVersions judges the versions of a result by the runs of its item. The lock is
// held.
func (j *Judge) judgeVersions(job string, result Result, runs []standin.Run) {
	if result.State != "completed" {
		return
	}
	for _, version := range result.Versions {
		made := slices.ContainsFunc(runs, func(run standin.Run) bool { return slices.Contains(run.Versions, version) })
		if !made {
			j.breach("%s: %s names version %d, which made no event of it", job, result.ID, version)
		}
	}
	if len(result.Versions) == 0 {
		j.breach("%s: %s names no version", job, result.ID)
	}
}

// Orders judges the orders that a back end carried out, by the time in which it tells
// two holders apart. Those that are excused were held up on their way: their sender was
// paused, or their connection silent.
func (j *Judge) Orders(backend string, all []standin.Order, settle time.Duration, excused func(standin.Order) bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	orders := slices.DeleteFunc(slices.Clone(all), func(order standin.Order) bool {
		return order.Status != http.StatusOK && order.Status != http.StatusAccepted || excused(order)
	})
	for i := 1; i < len(orders); i++ {
		before, after := orders[i-1], orders[i]
		switch {
		case after.Holder != before.Holder && after.Fence == before.Fence:
			j.breach("%s: %s and %s used the fencing token %d", backend, before.Holder, after.Holder, after.Fence)
		case after.Holder != before.Holder && after.At.Sub(before.At) < settle:
			j.breach("%s: %s ordered %s after %s", backend, after.Holder, after.At.Sub(before.At), before.Holder)
		case after.Fence < before.Fence:
			j.breach("%s: fencing token %d after %d", backend, after.Fence, before.Fence)
		}
	}
}

// Usage judges the reports of the tenants' use by the live requests that began.
func (j *Judge) Usage(reports map[int64]standin.Usage, breaches []string, runs []standin.Run) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, breach := range breaches {
		j.breach("reports of use: %s", breach)
	}
	reported, began := make(map[string]int64), make(map[string]map[string]bool)
	for _, report := range reports {
		for tenant, count := range report.Counts {
			reported[tenant] += count
		}
	}
	for _, run := range runs {
		if began[run.Tenant] == nil {
			began[run.Tenant] = make(map[string]bool)
		}
		began[run.Tenant][run.ID] = true
	}
	for tenant, count := range reported {
		if count > int64(len(began[tenant])) {
			j.breach("reports of use: %d requests of %s, %d began; misjudged: %s", count, tenant, len(began[tenant]), j.wrongOf(tenant))
		}
	}
}

// wholeText returns what an item's text has to be.
func wholeText(id string) string {
	var data []string
	for number := 1; number <= standin.Events(id); number++ {
		data = append(data, standin.EventText(id, number))
	}
	return strings.Join(data, "\n")
}
