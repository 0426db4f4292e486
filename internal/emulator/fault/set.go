package fault

import (
	"context"
	"math/rand"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/sliplift/sliplift/internal/api"
)

// Set is the set of faults that are switched on. It is safe for concurrent use.
type Set struct {
	mu      sync.Mutex
	random  *rand.Rand
	nextID  int
	faults  []Fault
	timers  map[string]*time.Timer
	changed chan struct{}
	closed  bool
}

// NewSet returns an empty set that draws probabilities from seed.
func NewSet(seed int64) *Set {
	return &Set{
		random:  rand.New(rand.NewSource(seed)),
		timers:  map[string]*time.Timer{},
		changed: make(chan struct{}),
	}
}

// Add switches a fault on and returns it with its id.
func (s *Set) Add(f Fault) (Fault, error) {
	if err := f.check(); err != nil {
		return Fault{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextID++
	f.ID = strconv.Itoa(s.nextID)
	s.faults = append(s.faults, f)
	if f.DurationMS > 0 && !s.closed {
		s.timers[f.ID] = time.AfterFunc(api.Milliseconds(f.DurationMS), func() { s.Remove(f.ID) })
	}
	s.announce()
	return f, nil
}

// Remove switches a fault off and tells whether it was on.
func (s *Set) Remove(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.remove(id)
}

func (s *Set) remove(id string) bool {
	index := slices.IndexFunc(s.faults, func(f Fault) bool { return f.ID == id })
	if index < 0 {
		return false
	}
	s.faults = slices.Delete(s.faults, index, index+1)
	if timer, timed := s.timers[id]; timed {
		timer.Stop()
		delete(s.timers, id)
	}
	s.announce()
	return true
}

// List returns the faults that are on, with the counts that are left.
func (s *Set) List() []Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.faults)
}

// Active tells whether a fault is on, without using it up.
func (s *Set) Active(target string, kind Kind) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.find(target, kind) >= 0
}

// Take lets a fault strike: it returns the fault and counts it, or returns
// false if none is on or chance spares the target.
func (s *Set) Take(target string, kind Kind) (Fault, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	index := s.find(target, kind)
	if index < 0 {
		return Fault{}, false
	}
	f := s.faults[index]
	if f.Probability > 0 && s.random.Float64() >= f.Probability {
		return Fault{}, false
	}
	if f.Count == 1 {
		s.remove(f.ID)
	} else if f.Count > 1 {
		s.faults[index].Count--
	}
	return f, true
}

// Changed returns a channel that is closed at the next change of the set.
func (s *Set) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// Before is called by a stand-in before it does a call. It lets KindFreeze,
// KindSlow, KindHang and KindDown strike and returns nil if the call is to be
// done, ErrDown or ErrBroken if not, or the error of ctx.
func (s *Set) Before(ctx context.Context, target string) error {
	if err := s.WaitWhile(ctx, target, KindFreeze); err != nil {
		return err
	}
	if f, slow := s.Take(target, KindSlow); slow {
		if err := Sleep(ctx, f.Delay()); err != nil {
			return err
		}
	}
	if _, hangs := s.Take(target, KindHang); hangs {
		<-ctx.Done()
		return ErrBroken.Wrap(ctx.Err())
	}
	if _, down := s.Take(target, KindDown); down {
		return ErrDown.Errorf("%s", target)
	}
	return nil
}

// LoseAnswer is called by a stand-in after a call has taken effect. It returns
// ErrBroken if KindLostAnswer strikes, and nil if the answer is to be sent.
func (s *Set) LoseAnswer(target string) error {
	if _, lost := s.Take(target, KindLostAnswer); lost {
		return ErrBroken.Errorf("%s: answer lost", target)
	}
	return nil
}

// WaitWhile returns once no fault of that kind is on, or with the error of ctx.
func (s *Set) WaitWhile(ctx context.Context, target string, kind Kind) error {
	for {
		changed := s.Changed()
		if !s.Active(target, kind) {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Close stops the timers of the faults; they stay as they are.
func (s *Set) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for _, timer := range s.timers {
		timer.Stop()
	}
}

func (s *Set) find(target string, kind Kind) int {
	return slices.IndexFunc(s.faults, func(f Fault) bool { return f.Target == target && f.Kind == kind })
}

func (s *Set) announce() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Sleep waits for the duration or returns the error of ctx.
func Sleep(ctx context.Context, duration time.Duration) error {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
