package claim

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"

	"github.com/sliplift/sliplift/internal/api"
	"github.com/sliplift/sliplift/internal/peer"
	"github.com/sliplift/sliplift/internal/platform"
)

// mesh carries messages between the services of a test. An address is a name.
type mesh struct {
	mu       sync.Mutex
	handlers map[string]map[peer.Kind]peer.Handler
	down     map[string]bool
}

// endpoint is one node's place in a mesh.
type endpoint struct {
	mesh *mesh
	name string
}

func (e endpoint) Handle(kind peer.Kind, handler peer.Handler) {
	e.mesh.mu.Lock()
	defer e.mesh.mu.Unlock()
	if e.mesh.handlers[e.name] == nil {
		e.mesh.handlers[e.name] = make(map[peer.Kind]peer.Handler)
	}
	e.mesh.handlers[e.name][kind] = handler
}

func (e endpoint) Send(string, peer.Kind, any) {}

func (e endpoint) Call(ctx context.Context, address string, kind peer.Kind, body, response any) error {
	handler, down := e.mesh.lookup(address, kind)
	if down {
		<-ctx.Done()
		return ctx.Err()
	}
	time.Sleep(time.Millisecond)
	request, err := json.Marshal(body)
	if err != nil {
		return err
	}
	answer, err := handler(ctx, e.name, request)
	if err != nil {
		return err
	}
	encoded, err := json.Marshal(answer)
	if err != nil {
		return err
	}
	return json.Unmarshal(encoded, response)
}

func (m *mesh) lookup(address string, kind peer.Kind) (handler peer.Handler, down bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.handlers[address][kind], m.down[address]
}

// setDown cuts nodes off, or joins them again.
func (m *mesh) setDown(down bool, names ...string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, name := range names {
		m.down[name] = down
	}
}

// firstRun is a Registrar with a fixed answer.
type firstRun bool

func (f firstRun) FirstRun(context.Context, string) (bool, error) { return bool(f), nil }

func newMesh(t *testing.T) (*mesh, map[string]*Service) {
	m := &mesh{handlers: make(map[string]map[peer.Kind]peer.Handler), down: make(map[string]bool)}
	services := make(map[string]*Service)
	for _, name := range []string{"a", "b", "c"} {
		services[name] = m.start(t, name, true)
	}
	for _, service := range services {
		service.Run(t.Context())
	}
	return m, services
}

func (m *mesh) start(t *testing.T, name string, first bool) *Service {
	lg := logrus.New()
	lg.SetOutput(io.Discard)
	list := StaticView{{Name: "a", Address: "a", Zone: "1"}, {Name: "b", Address: "b", Zone: "2"}, {Name: "c", Address: "c", Zone: "3"}}
	incarnation := time.Now().UnixMicro()
	service := NewService(lg, Config{Self: name, Incarnation: incarnation}, endpoint{m, name}, endpoint{m, name}, list, firstRun(first))
	return service
}

func (m *mesh) restart(t *testing.T, name string) *Service {
	service := m.start(t, name, false)
	service.Run(t.Context())
	return service
}

func closeAll(services map[string]*Service) {
	for _, service := range services {
		service.Close()
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
	synctest.Test(t, func(t *testing.T) {
		_, services := newMesh(t)
		defer closeAll(services)
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
	synctest.Test(t, func(t *testing.T) {
		_, services := newMesh(t)
		defer closeAll(services)
		wantClaim(t, services["a"], "key", "r1", Granted)
		services["a"].Complete("key", "r1", api.OutcomeRefused, nil)
		services["a"].Close()
		wantClaim(t, services["b"], "key", "r2", Granted)
	})
}

// TestLateRefusalDoesNotFreeALaterGrant: a caller that answers the error of a
// claim with a refusal may be late, when the same request holds the key.
func TestLateRefusalDoesNotFreeALaterGrant(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m, services := newMesh(t)
		defer closeAll(services)
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
	synctest.Test(t, func(t *testing.T) {
		m, services := newMesh(t)
		defer closeAll(services)
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
	synctest.Test(t, func(t *testing.T) {
		m, services := newMesh(t)
		defer closeAll(services)
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
	synctest.Test(t, func(t *testing.T) {
		m, services := newMesh(t)
		defer closeAll(services)
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
	synctest.Test(t, func(t *testing.T) {
		_, services := newMesh(t)
		defer closeAll(services)
		timed := uuid.Must(uuid.NewV7()).String()
		time.Sleep(time.Minute)
		wantClaim(t, services["a"], timed, "r1", Granted)
		time.Sleep(DefaultValidity)
		wantRefused(t, services["b"], timed, "r2", api.CodeInvalid)
		wantRefused(t, services["b"], "", "r3", api.CodeMissingKey)
	})
}

// lossyTable holds one row. Its first commits take effect and lose the answer.
type lossyTable struct {
	row       *api.Row
	lose      int32
	committed atomic.Int32
}

func (l *lossyTable) Commit(_ context.Context, transaction api.Transaction) (api.TransactionResponse, error) {
	if l.row != nil {
		return api.TransactionResponse{}, &api.Error{Code: api.CodeConditionFailed}
	}
	l.row = &api.Row{Key: transaction.Puts[0].Key, Value: transaction.Puts[0].Value, Revision: 1}
	if l.committed.Add(1) <= l.lose {
		return api.TransactionResponse{}, platform.ErrUncertain.Errorf("answer lost")
	}
	return api.TransactionResponse{Revision: 1}, nil
}

func (l *lossyTable) Get(context.Context, string) (api.Row, error) { return *l.row, nil }

func TestOnlyTheFirstIncarnationIsTheFirstRun(t *testing.T) {
	table := &lossyTable{lose: 1}
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
