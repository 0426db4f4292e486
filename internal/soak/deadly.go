package soak

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/sliplift/sliplift/platform/standin"
)

const (
	// deadlyPrefix begins the ids and bodies of requests that end the back ends which run
	// them; deadlyWorks is how many different ones there are in a run.
	deadlyPrefix = "deadly-"
	deadlyWorks  = 3
	// deadlyEvery is how often one is sent while it is.
	deadlyEvery = 80 * time.Millisecond
	// deadFor is how long a back end is away that was ended.
	deadFor = 2500 * time.Millisecond
	// deadlyEnds is how many back ends a work may end, resendsMost how often it may be sent
	// on after that by nodes that can know.
	deadlyEnds, resendsMost = 3, 3
	// contact is within which nodes know what others saw; toldWithin, within which an end
	// is in the store.
	contact    = 3 * time.Second
	toldWithin = time.Second
)

// workOf returns the name of the work of a deadly request by its id.
func workOf(id string) string {
	work, _, _ := strings.Cut(strings.TrimPrefix(id, deadlyPrefix), "-")
	return work
}

func isDeadly(_ *http.Request, body []byte) bool { return bytes.HasPrefix(body, []byte(deadlyPrefix)) }

// sendDeadly begins to send a deadly request at nodes by chance, and returns what ends it.
func (s *system) sendDeadly(f fault) func() {
	ctx, cancel := context.WithCancel(context.Background())
	work := fmt.Sprint(f.variant % deadlyWorks)
	var group sync.WaitGroup
	group.Go(func() {
		for number := 0; ctx.Err() == nil; number++ {
			n := s.nodes[(f.target+number)%len(s.nodes)]
			id := fmt.Sprintf("%s%s-%s-%d-%d", deadlyPrefix, work, n.name, f.variant, number)
			group.Go(func() {
				bounded, end := context.WithTimeout(context.Background(), requestLimit)
				defer end()
				answer := send(bounded, n, http.MethodPost, "/safe/deadly", id, tenantKey(0, 1), []byte(deadlyPrefix+work))
				s.judge.Count(fmt.Sprintf("deadly %d", answer.status))
			})
			sleepUntil(ctx, time.Now().Add(deadlyEvery))
		}
	})
	return func() {
		cancel()
		group.Wait()
	}
}

// senderOf returns the node that a deadly request was sent to, by its id.
func senderOf(id string) string {
	parts := strings.Split(strings.TrimPrefix(id, deadlyPrefix), "-")
	return parts[1]
}

// death is the end of a back end.
type death struct {
	backend string
	at      time.Time
}

// die ends a back end; it starts again after a while.
func (s *system) die(b *backend) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.dead {
		return
	}
	b.dead = true
	s.mu.Lock()
	s.deaths = append(s.deaths, death{b.ID, time.Now()})
	s.mu.Unlock()
	over := s.history.begin(b.ID)
	b.way.die()
	time.AfterFunc(deadFor, func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.dead = false
		if err := b.way.revive(); err != nil {
			s.judge.Count("back ends that did not start again")
		}
		over()
	})
}

// judgeDeadly judges what was sent on of deadly requests, and that harmless ones are served
// after all of it.
func (s *system) judgeDeadly(runs []standin.Run) {
	s.mu.Lock()
	deaths := slices.Clone(s.deaths)
	s.mu.Unlock()
	byWork := make(map[string][]standin.Run)
	for _, run := range runs {
		if strings.HasPrefix(run.ID, deadlyPrefix) {
			byWork[workOf(run.ID)] = append(byWork[workOf(run.ID)], run)
		}
	}
	for work, sent := range byWork {
		s.judge.Deadly(work, sent, deaths, s.history)
	}
}

// Deadly judges the runs of a work that ends the back ends which run it: once it has ended
// deadlyEnds of them, nodes that are in touch do not send it on. Ends count whose node was
// there, and the store, until they were told.
func (j *Judge) Deadly(work string, runs []standin.Run, deaths []death, history *History) {
	j.mu.Lock()
	defer j.mu.Unlock()
	var ends []time.Time
	for _, d := range deaths {
		under := slices.ContainsFunc(runs, func(run standin.Run) bool {
			ended := run.Sampler == d.backend && !run.Began.After(d.at) && d.at.Sub(run.Began) < 4*standin.DeadlyAfter
			return ended && !history.disturbed(d.at.Add(toldWithin), 2*toldWithin, senderOf(run.ID), everyStoreCall)
		})
		if under {
			ends = append(ends, d.at)
		}
	}
	j.counts["back ends ended by deadly requests"] += len(ends)
	if len(ends) < deadlyEnds {
		return
	}
	slices.SortFunc(ends, time.Time.Compare)
	known, resent := ends[deadlyEnds-1].Add(contact), 0
	for _, run := range runs {
		if run.Began.After(known) && !history.disturbed(run.Began, contact, senderOf(run.ID), everyStoreCall) {
			resent++
		}
	}
	if resent > resendsMost {
		j.breach("deadly work %s: sent on %d times after it had ended %d back ends", work, resent, deadlyEnds)
	}
}

// harmlessWithin is within which each node serves harmless requests once nothing fails.
const harmlessWithin = 5 * time.Second

// judgeHarmless judges that requests which many callers send alike are served at each node
// in the end, whatever ended back ends that ran them.
func (s *system) judgeHarmless(ctx context.Context) {
	for _, n := range s.nodes {
		served := false
		for deadline := time.Now().Add(harmlessWithin); !served && time.Now().Before(deadline) && ctx.Err() == nil; time.Sleep(100 * time.Millisecond) {
			bounded, cancel := context.WithTimeout(ctx, requestLimit)
			served = send(bounded, n, http.MethodPost, "/safe/x", "harmless-"+n.name, tenantKey(1, 1), []byte("hello")).status == http.StatusOK
			cancel()
		}
		if !served {
			s.judge.Unserved(n.name)
		}
	}
}

// Unserved takes that a node does not serve a harmless request in the end.
func (j *Judge) Unserved(node string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.breach("%s: a harmless request is not served in the end", node)
}
