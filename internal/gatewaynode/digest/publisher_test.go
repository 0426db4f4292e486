package digest

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/sliplift/sliplift/internal/gatewaynode/rowstore"
	"github.com/sliplift/sliplift/internal/gatewaynode/rowstore/rowstoretest"
)

// TestPublisherIsReplaced: each row ends the publisher in another way; its followers hear of
// what changes then within Fresh.
func TestPublisherIsReplaced(t *testing.T) {
	for name, end := range map[string]func(p *player){
		"gone":       func(p *player) { p.stop() },
		"frozen":     func(p *player) { p.late.freeze(8 * time.Second) },
		"refused":    func(p *player) { p.way.Set(rowstoretest.Refused) },
		"silenced":   func(p *player) { p.way.Set(rowstoretest.Silenced) },
		"no keeper":  func(p *player) { p.rank.Store(-1) },
		"turns away": func(p *player) { p.wants.Store(false); p.rank.Store(-1) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := rowstoretest.New()
				w := newWorld(store, 150)
				first := start(t, store, "first", true, 0)
				second := start(t, store, "second", true, 1)
				for _, p := range []*player{first, second} {
					defer p.stop()
				}
				follower := start(t, store, "follower", false, -1)
				defer follower.stop()
				time.Sleep(settled)
				if second.publisher.Active() {
					first, second = second, first
				}
				if !first.publisher.Active() || follower.mirror.Way() != ByDigest {
					t.Errorf("published: %t, followed by %s", first.publisher.Active(), follower.mirror.Way())
				}
				end(first)
				w.put("k003", thing{Matters: 9})
				time.Sleep(testFresh)
				if held, _, _ := follower.believes(time.Now()); held["k003"] != 9 {
					t.Errorf("k003 is %d", held["k003"])
				}
				first.way.Set(rowstoretest.Open)
				time.Sleep(2 * testFresh)
				if !second.publisher.Active() || name != "gone" && first.publisher.Active() {
					t.Errorf("publishing: first %t, second %t", first.publisher.Active(), second.publisher.Active())
				}
				if way := follower.mirror.Way(); way != ByDigest {
					t.Errorf("followed by %s", way)
				}
			})
		})
	}
}

// TestSlowReadingOfTheDigestKeepsThePublishing guards against readers that take the publishing
// over from one which has taken it over and is still reading the digest.
func TestSlowReadingOfTheDigestKeepsThePublishing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := rowstoretest.New()
		w := newWorld(store, 150)
		first := start(t, store, "first", true, 0)
		time.Sleep(settled)
		readers := []*player{start(t, store, "second", true, 1), start(t, store, "third", true, 2)}
		for _, p := range readers {
			defer p.stop()
		}
		follower := start(t, store, "follower", false, -1)
		defer follower.stop()
		time.Sleep(settled)
		for _, p := range readers {
			p.late.slowListing(Table, 4*testFresh/5)
		}
		first.stop()
		for began := time.Now(); time.Since(began) < 3*testFresh; {
			time.Sleep(testFresh / 50)
			if standing, _ := follower.follower.Standing(); standing.Proof.Round == 1 && !standing.Proof.Unfinished {
				t.Fatalf("%s has read nothing yet, and its proof is finished", standing.Proof.Publisher)
			}
		}
		w.put("k003", thing{Matters: 9})
		time.Sleep(testFresh)
		if held, age, _ := follower.believes(time.Now()); held["k003"] != 9 || follower.mirror.Way() != ByDigest {
			t.Errorf("k003 is %d, %s old, followed by %s", held["k003"], age, follower.mirror.Way())
		}
		if takeovers := readers[0].late.listings() + readers[1].late.listings(); takeovers != 1 {
			t.Errorf("the digest was read by %d readers to take it over", takeovers)
		}
	})
}

// TestLostAnswersOfThePublisher: a write whose answer is lost is settled by the next one, and
// what it was about is written once more.
func TestLostAnswersOfThePublisher(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := rowstoretest.New()
		w := newWorld(store, 20)
		reader := start(t, store, "reader", true, 0)
		defer reader.stop()
		follower := start(t, store, "follower", false, -1)
		defer follower.stop()
		time.Sleep(settled)
		store.SetFaults(rowstoretest.Faults{LoseAnswers: true, Limit: 300 * time.Millisecond})
		for i := range 10 {
			w.put("k001", thing{Matters: i % 2})
			time.Sleep(200 * time.Millisecond)
		}
		store.SetFaults(rowstoretest.Faults{})
		time.Sleep(time.Second)
		if held, age, _ := follower.believes(time.Now()); !reader.publisher.Active() || held["k001"] != 1 || age > 2*time.Second {
			t.Errorf("publishes: %t; k001 is %d, %s old", reader.publisher.Active(), held["k001"], age)
		}
	})
}

// TestBusyPublisherIsNotReplaced guards against keepers that take the publishing over from each
// other in turn and never publish.
func TestBusyPublisherIsNotReplaced(t *testing.T) {
	const (
		now  = 100_000
		old  = now - 60_000
		late = now - 1000
	)
	proof := func(publisher string, round int64, unfinished bool) Proof {
		return Proof{Format: Format, Publisher: publisher, Round: round, Unfinished: unfinished, Reached: map[string]rowstore.Moment{testSource: {Taken: old}}}
	}
	for _, test := range []struct {
		name   string
		proofs []Proof
		// taken is the store's clock as each of the proofs is seen.
		taken []int64
		// outage is how long the table was lost until it was read again a while ago.
		outage, ago time.Duration
		want        bool
	}{
		{"nobody ever published", nil, nil, 0, 0, true},
		{"publisher is silent", []Proof{proof("a", 1, false)}, []int64{old}, 0, 0, true},
		{"publisher writes and is far behind", []Proof{proof("a", 1, false), proof("a", 2, false)}, []int64{old, late}, 0, 0, true},
		{"publisher has just taken over", []Proof{proof("a", 9, false), proof("b", 1, false)}, []int64{old, late}, 0, 0, false},
		{"publisher wrote a part of its changes", []Proof{proof("a", 1, false), proof("a", 2, true)}, []int64{old, late}, 0, 0, false},
		{"an outage is just over", []Proof{proof("a", 1, false)}, []int64{old}, 7 * time.Second, time.Second, false},
		{"an outage has been over for long", []Proof{proof("a", 1, false)}, []int64{old}, 7 * time.Second, 4 * time.Second, true},
		{"a call failed now and then", []Proof{proof("a", 1, false)}, []int64{old}, 400 * time.Millisecond, time.Second, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := NewFollower(nil, nil, Timing{Fresh: testFresh}, nil, nil)
			f.standing.FirstTaken, f.known = late, true
			for i := range test.proofs {
				f.note([]rowstore.Row{{RowID: proofID(), Value: encode(test.proofs[i]), Revision: int64(i + 1)}}, test.taken[i])
			}
			p := NewPublisher(PublisherConfig{
				Source: Source{Name: testSource, Outage: func() (time.Duration, time.Time) { return test.outage, time.Now().Add(-test.ago) }},
				Timing: Timing{Fresh: testFresh}, Follower: f, Rank: func(string, time.Time) int { return 0 },
			})
			if got := p.mayTakeOver(rowstore.Moment{Taken: now}, time.Now()); got != test.want {
				t.Errorf("takes over: %t, want %t", got, test.want)
			}
		})
	}
}
