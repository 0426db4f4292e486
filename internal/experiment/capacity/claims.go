package capacity

import (
	"context"
	"net"
	"strings"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/zeebo/errs/v2"

	"github.com/sliplift/sliplift/internal/api"
	"github.com/sliplift/sliplift/internal/claim"
	"github.com/sliplift/sliplift/internal/emulator/table"
	"github.com/sliplift/sliplift/internal/pause"
	"github.com/sliplift/sliplift/internal/peer"
)

// ClaimSlope is the cost of a booking's claim: at its claimant and its three
// replicas together, over TCP.
type ClaimSlope struct {
	Members     int     `json:"members"`
	Bookings    int64   `json:"bookings"`
	Micros      float64 `json:"us_per_booking"`
	Messages    float64 `json:"messages_per_booking"`
	Bytes       float64 `json:"bytes_per_booking"`
	AnswerBytes int     `json:"answer_bytes"`
	// MemoryBytes is what a booking leaves at all its replicas and its claimant,
	// kept for RetentionSeconds.
	MemoryBytes      float64 `json:"memory_bytes_per_booking"`
	RetentionSeconds float64 `json:"retention_s"`
}

const (
	claimMemberCount = 330
	claimProcesses   = 6
	claimWorkers     = 8
	claimAnswerBytes = 200
)

// claimBench is a few claim services that stand for many members.
type claimBench struct {
	transports []*peer.Transport
	services   []*claim.Service
	cancel     context.CancelFunc
}

func newClaimBench(ctx context.Context) (*claimBench, error) {
	ctx, cancel := context.WithCancel(ctx)
	b := &claimBench{cancel: cancel}
	for i := range claimProcesses {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, errs.Combine(ErrSetup.Wrap(err), b.close())
		}
		b.transports = append(b.transports, peer.NewTransport(quietLogger(), peer.Config{Node: nodeName(i), Incarnation: nodeIncarnation, Listener: listener}))
	}
	var members claim.StaticView
	for i := range claimMemberCount {
		address := b.transports[i%claimProcesses].Address()
		members = append(members, claim.Member{Name: nodeName(i), Address: address, Zone: zoneOf(i)})
	}
	store := newTable(table.Config{Name: "table"})
	for i, transport := range b.transports {
		service := claim.NewService(quietLogger(), claim.Config{Self: nodeName(i), Incarnation: nodeIncarnation},
			transport, transport, members, claim.NewTableRegistrar(store))
		transport.Start()
		b.services = append(b.services, service)
	}
	for _, service := range b.services {
		service.Run(ctx)
	}
	return b, nil
}

func (b *claimBench) close() error {
	b.cancel()
	for _, service := range b.services {
		service.Close()
	}
	var failures []error
	for _, transport := range b.transports {
		failures = append(failures, transport.Close())
	}
	return errs.Combine(failures...)
}

func (b *claimBench) traffic() peer.KindStats {
	var total peer.KindStats
	for _, transport := range b.transports {
		total = addStats(total, transport.Stats().Total())
	}
	return total
}

func measureClaims(ctx context.Context, cfg Config) (ClaimSlope, error) {
	b, err := newClaimBench(ctx)
	if err != nil {
		return ClaimSlope{}, err
	}
	var next atomic.Int64
	answer := &api.LiveResponse{Outcome: api.OutcomeCompleted, Text: strings.Repeat("x", claimAnswerBytes)}
	book := func(int) error {
		service := b.services[next.Add(1)%claimProcesses]
		key, requestID := uuid.NewString(), uuid.NewString()
		result, err := service.Claim(context.WithoutCancel(ctx), key, requestID)
		if err != nil {
			return err
		}
		if result.Status != claim.Granted {
			return ErrSetup.Errorf("key %s was not granted", key)
		}
		service.Complete(key, requestID, api.OutcomeCompleted, answer)
		return nil
	}
	if _, err := runWork(ctx, claimWorkers, cfg.SlopeTime/slopeRuns, book); err != nil {
		return ClaimSlope{}, errs.Combine(err, b.close())
	}
	before, memoryBefore := b.traffic(), memoryInUse()
	cost, err := medianWork(slopeRuns, func() (workCost, error) {
		return runWork(ctx, claimWorkers, cfg.SlopeTime/slopeRuns, book)
	})
	pause.For(ctx, time.Second) // until the last completions have arrived
	after, memoryAfter := b.traffic(), memoryInUse()
	bookings := float64(max(1, cost.count))
	slope := ClaimSlope{
		Members: claimMemberCount, Bookings: cost.count, Micros: cost.micros,
		Messages: float64(after.MessagesOut-before.MessagesOut) / bookings,
		Bytes:    float64(after.BytesOut-before.BytesOut) / bookings, AnswerBytes: claimAnswerBytes,
		MemoryBytes:      (memoryAfter - memoryBefore) / bookings,
		RetentionSeconds: claimRetention.Seconds(),
	}
	return slope, errs.Combine(err, b.close())
}
