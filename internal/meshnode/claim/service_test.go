package claim

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus/hooks/test"

	"github.com/sliplift/sliplift/internal/api"
	"github.com/sliplift/sliplift/internal/emulator/fault"
	emulated "github.com/sliplift/sliplift/internal/emulator/table"
	"github.com/sliplift/sliplift/internal/memnet"
	"github.com/sliplift/sliplift/internal/meshnode/peer"
)

// firstRun is a Registrar with a fixed answer.
type firstRun bool

func (f firstRun) FirstRun(context.Context, string) (bool, error) { return bool(f), nil }

// mesh is the network between the services of a test. Hosts and nodes have the
// same names.
type mesh struct{ *memnet.Network }

var meshMembers = StaticView{{Name: "a", Address: "a:1", Zone: "1"}, {Name: "b", Address: "b:1", Zone: "2"}, {Name: "c", Address: "c:1", Zone: "3"}}

// inMesh plays a story with one service on each node.
func inMesh(t *testing.T, play func(t *testing.T, m mesh, services map[string]*Service)) {
	synctest.Test(t, func(t *testing.T) {
		m, services := mesh{memnet.NewNetwork()}, make(map[string]*Service)
		for _, member := range meshMembers {
			services[member.Name] = m.start(t, member.Name, true)
		}
		play(t, m, services)
		for _, service := range services {
			service.Close()
		}
	})
}

// start starts a node, after the end of its former process if there was one.
func (m mesh) start(t *testing.T, name string, first bool) *Service {
	m.Kill(name)
	lg, _ := test.NewNullLogger()
	listener, err := m.Listen(name + ":1")
	if err != nil {
		t.Fatal(err)
	}
	incarnation := time.Now().UnixMicro()
	transport := peer.NewTransport(lg, peer.Config{Node: name, Incarnation: incarnation, Listener: listener, Dial: m.Dialer(name)})
	service := NewService(lg, Config{Self: name, Incarnation: incarnation}, transport, transport, meshMembers, firstRun(first))
	transport.Start()
	t.Cleanup(func() { transport.Close() })
	service.Run(t.Context())
	return service
}

func (m mesh) restart(t *testing.T, name string) *Service { return m.start(t, name, false) }

// setDown cuts nodes off from all others, or joins them again.
func (m mesh) setDown(down bool, names ...string) {
	change := m.Heal
	if down {
		change = m.Cut
	}
	for _, name := range names {
		for _, member := range meshMembers {
			change(name, member.Name)
		}
	}
	if !down {
		time.Sleep(2 * peer.DefaultLimits().BackoffMax) // the transports dial again
	}
}

func wantClaim(t *testing.T, service *Service, key, requestID string, status Status) Result {
	t.Helper()
	result, err := service.Claim(t.Context(), key, requestID)
	if err != nil || result.Status != status {
		t.Fatalf("claim of %s by %s: %+v, %v", key, requestID, result, err)
	}
	return result
}

func wantRefused(t *testing.T, service *Service, key, requestID string, code api.Code) {
	t.Helper()
	result, err := service.Claim(t.Context(), key, requestID)
	var refusal *api.Error
	if !errors.As(err, &refusal) || refusal.Outcome != api.OutcomeRefused || refusal.Code != code {
		t.Fatalf("claim of %s by %s: %+v, %v", key, requestID, result, err)
	}
}

func TestRetryElsewhereGetsTheSameAnswer(t *testing.T) {
	inMesh(t, func(t *testing.T, _ mesh, services map[string]*Service) {
		wantClaim(t, services["a"], "key", "r1", Granted)
		if got := wantClaim(t, services["b"], "key", "r2", AlreadyClaimed); got.Outcome != api.OutcomeUnknown || got.HolderRequestID != "r1" {
			t.Fatalf("result %+v", got)
		}
		services["a"].Complete("key", "r1", api.OutcomeCompleted, &api.LiveResponse{Text: "visit at ten"})
		services["a"].Close()
		for _, service := range services {
			got := wantClaim(t, service, "key", "r3", AlreadyClaimed)
			if got.Outcome != api.OutcomeCompleted || got.Answer == nil || got.Answer.Text != "visit at ten" {
				t.Fatalf("result %+v", got)
			}
		}
	})
}

func TestRefusedRequestFreesTheKey(t *testing.T) {
	inMesh(t, func(t *testing.T, _ mesh, services map[string]*Service) {
		wantClaim(t, services["a"], "key", "r1", Granted)
		services["a"].Complete("key", "r1", api.OutcomeRefused, nil)
		services["a"].Close()
		wantClaim(t, services["b"], "key", "r2", Granted)
	})
}

// TestLateRefusalDoesNotFreeALaterGrant: a caller that answers the error of a
// claim with a refusal may be late, when the same request holds the key.
func TestLateRefusalDoesNotFreeALaterGrant(t *testing.T) {
	inMesh(t, func(t *testing.T, m mesh, services map[string]*Service) {
		m.setDown(true, "b", "c")
		wantRefused(t, services["a"], "key", "r1", api.CodeClaimUnavailable)
		services["a"].Close()
		m.setDown(false, "b", "c")
		wantClaim(t, services["a"], "key", "r1", Granted)
		services["a"].Complete("key", "r1", api.OutcomeRefused, nil)
		services["a"].Close()
		wantClaim(t, services["b"], "key", "r2", AlreadyClaimed)
		wantClaim(t, services["a"], "key", "r1", AlreadyClaimed)
	})
}

func TestRestartedReplicaCostsOneVote(t *testing.T) {
	inMesh(t, func(t *testing.T, m mesh, services map[string]*Service) {
		wantClaim(t, services["a"], "key", "r1", Granted)
		services["a"].Close()
		services["a"] = m.restart(t, "a")
		wantClaim(t, services["a"], "other", "r2", Granted)
		wantClaim(t, services["a"], "key", "r3", AlreadyClaimed)
		services["b"] = m.restart(t, "b")
		wantRefused(t, services["a"], "third", "r4", api.CodeClaimUnavailable)
		time.Sleep(services["a"].config.Retention())
		wantClaim(t, services["a"], "third", "r5", Granted)
	})
}

// TestRollingRestart stops and starts every node in turn, well within the time
// for which a replica without memory abstains.
func TestRollingRestart(t *testing.T) {
	inMesh(t, func(t *testing.T, m mesh, services map[string]*Service) {
		wantClaim(t, services["a"], "key", "r1", Granted)
		services["a"].Complete("key", "r1", api.OutcomeCompleted, &api.LiveResponse{Text: "visit at ten"})
		for i, name := range []string{"a", "b", "c"} {
			services[name].Close()
			if !services[name].HandOver(t.Context()) || services[name].Votes() {
				t.Fatalf("%s did not hand over", name)
			}
			time.Sleep(time.Second)
			services[name] = m.restart(t, name)
			wantClaim(t, services[name], fmt.Sprint("key", i), "r2", Granted)
		}
		for _, service := range services {
			if got := wantClaim(t, service, "key", "r3", AlreadyClaimed); got.Answer == nil {
				t.Fatalf("result %+v", got)
			}
			if !service.Votes() {
				t.Fatal("a replica abstains after a planned stop")
			}
		}
	})
}

func TestHandOverServesOneIncarnationAndNotForLong(t *testing.T) {
	start := time.Unix(0, 0)
	handOver := HandOver{Name: "a", Incarnation: 1, Ticket: "t", Entries: []HandedEntry{{Key: "key"}}}
	prepared := func() *Heir {
		heir := NewHeir(time.Minute)
		heir.Ticket(TicketRequest{Name: "a", Incarnation: 1}, "t", start)
		return heir
	}
	heir := prepared()
	if heir.Accept(HandOver{Name: "a", Incarnation: 1, Ticket: "other"}, start) || !heir.Accept(handOver, start) {
		t.Fatal("tickets are not compared")
	}
	for _, c := range []struct {
		incarnation int64
		after       time.Duration
		want        bool
	}{{1, 0, false}, {2, 0, true}, {2, 0, true}, {3, 0, false}, {2, 30 * time.Second, false}} {
		if _, got := heir.Recover(RecoverRequest{Name: "a", Incarnation: c.incarnation}, start.Add(c.after)); got != c.want {
			t.Errorf("incarnation %d after %s: %v", c.incarnation, c.after, got)
		}
	}
	if prepared().Accept(handOver, start.Add(ticketValidity)) {
		t.Error("a hand-over was accepted after its ticket had lapsed")
	}
}

func TestClaimIsAnsweredWhenItsContextEnds(t *testing.T) {
	inMesh(t, func(t *testing.T, m mesh, services map[string]*Service) {
		m.setDown(true, "b", "c")
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer cancel()
		started := time.Now()
		_, err := services["a"].Claim(ctx, "key", "r1")
		if err == nil || time.Since(started) > 50*time.Millisecond {
			t.Fatalf("error %v after %v", err, time.Since(started))
		}
	})
}

func TestOldAndMalformedKeysAreRefused(t *testing.T) {
	inMesh(t, func(t *testing.T, _ mesh, services map[string]*Service) {
		timed := uuid.Must(uuid.NewV7()).String()
		time.Sleep(time.Minute)
		wantClaim(t, services["a"], timed, "r1", Granted)
		time.Sleep(DefaultValidity)
		wantRefused(t, services["b"], timed, "r2", api.CodeInvalid)
		wantRefused(t, services["b"], "", "r3", api.CodeMissingKey)
	})
}

func TestOnlyTheFirstIncarnationIsTheFirstRun(t *testing.T) {
	faults := fault.NewSet(1)
	_, _ = faults.Add(fault.Fault{Target: "table", Kind: fault.KindLostAnswer, Count: 1})
	table := emulated.NewService(emulated.Config{Name: "table"}, faults)
	first := NewTableRegistrar(table)
	if _, err := first.FirstRun(t.Context(), "a"); err == nil {
		t.Fatal("an uncertain commit was taken for an answer")
	}
	if created, err := first.FirstRun(t.Context(), "a"); err != nil || !created {
		t.Fatalf("own row not recognised: %v, %v", created, err)
	}
	if created, err := NewTableRegistrar(table).FirstRun(t.Context(), "a"); err != nil || created {
		t.Fatalf("second incarnation: %v, %v", created, err)
	}
}
