// Package application is the stand-in of an application instance behind
// sliplift: the listing preview and the booking application.
//
// POST /v1/invoke takes a slot, works for the service time and answers. A
// request that is taken in is written into the history as invoke_started, before
// it waits for its slot; one that is refused is not, as it can have no effect.
// The effect happens in the middle of the service time and is written into the
// history as invoked, once for each request that reached it, whether or not the
// client is still there. A status other than 200 means that there was no effect.
// The application does not know idempotency keys: a request that is sent twice
// takes effect twice.
package application

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"
	"github.com/zeebo/errs/v2"

	"github.com/sliplift/sliplift/internal/api"
	"github.com/sliplift/sliplift/internal/emulator/fault"
	"github.com/sliplift/sliplift/internal/emulator/server"
	"github.com/sliplift/sliplift/internal/history"
	"github.com/sliplift/sliplift/internal/meshnode/httpjson"
)

// Config describes an instance.
type Config struct {
	// Name is the back end's name and the target name of its faults.
	Name string
	// Address is host:port of its HTTP interface.
	Address string
	// Pool is written into the history.
	Pool string
	// Label begins every answer, for example "preview" or "booking".
	Label string
	// Capacity is the number of requests served at once.
	Capacity int
	// QueueLimit is the largest number of waiting requests.
	QueueLimit int
	// ServiceTime is the time that one request takes.
	ServiceTime time.Duration
	// LoadLag is the time between two refreshes of the load report.
	LoadLag time.Duration
}

// DefaultConfig returns an instance in the pool "preview" that serves 32
// requests at once in 5 ms each.
func DefaultConfig(name string) Config {
	return Config{
		Name:        name,
		Address:     "127.0.0.1:0",
		Pool:        "preview",
		Label:       "preview",
		Capacity:    32,
		QueueLimit:  64,
		ServiceTime: 5 * time.Millisecond,
		LoadLag:     200 * time.Millisecond,
	}
}

// ErrConfig is returned by Start for a configuration that makes no sense.
const ErrConfig = errs.Tag("application: configuration")

// queueRetryAfterMS is the Retry-After of an instance whose queue is full.
const queueRetryAfterMS = 200

// Dependencies are what an instance needs of its surroundings.
type Dependencies struct {
	Listen server.ListenFunc
	Faults *fault.Set
	Sink   history.Sink
}

// Application is a running instance.
type Application struct {
	config  Config
	needs   Dependencies
	calls   server.BackendCalls
	leaving atomic.Bool
	slots   chan struct{}
	server  *server.Server

	mu         sync.Mutex
	running    int
	waiting    int
	role       api.Role
	epoch      int64
	snapshot   api.LoadReport
	snapshotAt time.Time
}

// Start listens and serves until Close.
func Start(lg logrus.FieldLogger, config Config, needs Dependencies) (*Application, error) {
	if config.Capacity <= 0 || config.LoadLag <= 0 {
		return nil, ErrConfig.Errorf("%s: capacity %d and load lag %v must be positive", config.Name, config.Capacity, config.LoadLag)
	}
	a := &Application{
		config: config,
		needs:  needs,
		calls:  server.BackendCalls{Name: config.Name, Faults: needs.Faults},
		slots:  make(chan struct{}, config.Capacity),
	}
	a.forget()
	running, err := server.Start(lg, server.Config{
		Name:      config.Name,
		Address:   config.Address,
		Listen:    needs.Listen,
		Faults:    needs.Faults,
		Handler:   a.handler(),
		OnRestart: a.forget,
	})
	if err != nil {
		return nil, err
	}
	a.server = running
	return a, nil
}

// Name returns the instance's name.
func (a *Application) Name() string { return a.config.Name }

// Address returns host:port on which the instance listens.
func (a *Application) Address() string { return a.server.Address() }

// SetLeaving sets what the instance reports about its own going.
func (a *Application) SetLeaving(leaving bool) { a.leaving.Store(leaving) }

// Close breaks all connections and stops the instance.
func (a *Application) Close() { a.server.Close() }

// forget sets what a crash loses to what it is after a start.
func (a *Application) forget() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.role = api.RoleServing
	a.epoch = 0
	a.snapshot = a.report(time.Now())
	a.snapshotAt = time.Now()
}

func (a *Application) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/invoke", a.serveInvoke)
	mux.HandleFunc("POST /v1/orders", a.serveOrder)
	mux.HandleFunc("GET /v1/load", a.serveLoad)
	return mux
}

func (a *Application) serveInvoke(w http.ResponseWriter, r *http.Request) {
	var request api.InvokeRequest
	if !a.calls.Read(w, r, &request) {
		return
	}
	if refused := a.enter(); refused != nil {
		httpjson.WriteError(w, refused)
		return
	}
	a.record(history.KindInvokeStarted, &request, "")
	select {
	case a.slots <- struct{}{}:
		a.leaveQueue(true)
	case <-r.Context().Done():
		a.leaveQueue(false)
		panic(http.ErrAbortHandler)
	}
	response, done := a.serve(r, request)
	if !done {
		panic(http.ErrAbortHandler)
	}
	a.calls.Answer(w, response, nil)
}

// enter takes a place in the queue.
func (a *Application) enter() *api.Error {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.refreshSnapshot(time.Now())
	if a.role == api.RoleDraining {
		return api.Refusal(http.StatusServiceUnavailable, api.CodeNoBackend, 0, "%s: draining", a.config.Name)
	}
	// Those that wait include some that are about to take a free slot, so only
	// the sum is exact.
	if a.running+a.waiting >= a.config.Capacity+a.config.QueueLimit {
		return api.Refusal(http.StatusTooManyRequests, api.CodeOverloaded, queueRetryAfterMS,
			"%s: %d requests wait", a.config.Name, a.waiting)
	}
	a.waiting++
	return nil
}

func (a *Application) leaveQueue(running bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.refreshSnapshot(time.Now())
	a.waiting--
	if running {
		a.running++
	}
}

// serve works on the request; false says that a crash came in between. The
// client may go away: that does not stop the work.
func (a *Application) serve(r *http.Request, request api.InvokeRequest) (api.InvokeResponse, bool) {
	defer a.release()
	lifetime := server.Lifetime(r)
	untilEffect := a.config.ServiceTime / 2
	if err := a.work(lifetime, untilEffect); err != nil {
		return api.InvokeResponse{}, false
	}
	body := fmt.Sprintf("%s %s", a.config.Label, checksum(request.Body))
	a.record(history.KindInvoked, &request, checksum(body))
	if err := a.work(lifetime, a.config.ServiceTime-untilEffect); err != nil {
		return api.InvokeResponse{}, false
	}
	load := a.currentReport()
	return api.InvokeResponse{RequestID: request.RequestID, Body: body, Checksum: checksum(body), Load: &load}, true
}

// record writes the event of a request; sum is that of its answer.
func (a *Application) record(kind history.Kind, request *api.InvokeRequest, sum string) {
	a.needs.Sink.Record(history.Event{
		Kind:           kind,
		Process:        a.config.Name,
		Backend:        a.config.Name,
		Pool:           a.config.Pool,
		RequestID:      request.RequestID,
		Attempt:        request.Attempt,
		Key:            request.IdempotencyKey,
		Checksum:       sum,
		PromptChecksum: checksum(request.Body),
	})
}

// work takes the duration, and then as long as the instance is frozen.
func (a *Application) work(ctx context.Context, duration time.Duration) error {
	if err := fault.Sleep(ctx, duration); err != nil {
		return err
	}
	return a.needs.Faults.WaitWhile(ctx, a.config.Name, fault.KindFreeze)
}

func (a *Application) release() {
	<-a.slots
	a.mu.Lock()
	defer a.mu.Unlock()
	a.refreshSnapshot(time.Now())
	a.running--
}

func (a *Application) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order api.Order
	if !a.calls.Read(w, r, &order) {
		return
	}
	response, refused := a.order(order)
	if refused != nil {
		httpjson.WriteError(w, refused)
		return
	}
	a.calls.Answer(w, response, nil)
}

// order takes an order unless a holder with a higher epoch was heard.
func (a *Application) order(order api.Order) (api.OrderResponse, *api.Error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.refreshSnapshot(time.Now())
	if order.Epoch < a.epoch {
		return api.OrderResponse{}, api.Refusal(http.StatusConflict, api.CodeFenced, 0,
			"%s: epoch %d is below %d", a.config.Name, order.Epoch, a.epoch)
	}
	if order.Kind != api.OrderSetRole {
		return api.OrderResponse{}, api.Invalid("kind: %q is not for applications", order.Kind)
	}
	if order.Role != api.RoleServing && order.Role != api.RoleDraining {
		return api.OrderResponse{}, api.Invalid("role: %q", order.Role)
	}
	a.epoch = order.Epoch
	a.role = order.Role
	return api.OrderResponse{Accepted: true, Epoch: a.epoch}, nil
}

func (a *Application) serveLoad(w http.ResponseWriter, r *http.Request) {
	if a.calls.Begin(w, r) {
		httpjson.Write(w, http.StatusOK, a.laggedReport(time.Now()))
	}
}

func (a *Application) laggedReport(now time.Time) api.LoadReport {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.refreshSnapshot(now)
	return a.snapshot
}

// refreshSnapshot takes the snapshots that were due by now. It is called before
// each change and each reading, so nothing has changed since the last of them.
func (a *Application) refreshSnapshot(now time.Time) {
	due := now.Sub(a.snapshotAt).Truncate(a.config.LoadLag)
	if due <= 0 {
		return
	}
	a.snapshotAt = a.snapshotAt.Add(due)
	a.snapshot = a.report(a.snapshotAt)
}

func (a *Application) currentReport() api.LoadReport {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.report(time.Now())
}

func (a *Application) report(now time.Time) api.LoadReport {
	return api.LoadReport{
		Backend:    a.config.Name,
		AsOfMS:     now.UnixMilli(),
		Running:    a.running,
		Waiting:    a.waiting,
		Capacity:   a.config.Capacity,
		Role:       a.role,
		Leaving:    a.leaving.Load(),
		OrderEpoch: a.epoch,
	}
}

func checksum(text string) string { return fmt.Sprintf("%016x", xxhash.Sum64String(text)) }
