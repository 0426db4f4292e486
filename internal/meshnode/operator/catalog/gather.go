package catalog

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/zeebo/errs/v2"

	"github.com/sliplift/sliplift/internal/meshnode/peer"
	"github.com/sliplift/sliplift/internal/meshnode/query"
)

// KindShow asks a node for what it knows at first hand.
const KindShow peer.Kind = "operator.show"

// ShowRequest is the body of KindShow.
type ShowRequest struct {
	Table query.TableName `json:"table"`
	// RequestID is the request that EXPLAIN asks for.
	RequestID string `json:"request_id,omitempty"`
}

const (
	// defaultGatherTimeout bounds the time until members count as not heard.
	defaultGatherTimeout = 2 * time.Second
	// gatherWidth bounds the questions under way at the same time. It is larger
	// than the clusters that are planned for, so that silent members do not use
	// up the time of others.
	gatherWidth = 512
)

// errNotAsked stands for the answer of a member that is seen as dead or
// unreachable.
const errNotAsked = errs.Tag("catalog: not asked")

// gatherer asks other nodes.
type gatherer struct {
	logger  logrus.FieldLogger
	node    string
	timeout time.Duration
	caller  peer.Caller
}

// gathered is what the members said, and who did not.
type gathered struct {
	knowledge knowledge
	heard     []string
	notHeard  []string
}

// ask puts the request to the members, but not to this node.
func (g *gatherer) ask(ctx context.Context, members []Member, request ShowRequest) gathered {
	ctx, cancel := context.WithTimeout(ctx, g.timeout)
	defer cancel()
	answers := make([]answer, len(members))
	permits := make(chan struct{}, gatherWidth)
	var pending sync.WaitGroup
	for i, member := range members {
		if member.Name == g.node || member.State == MemberLeft {
			continue
		}
		if member.State == MemberDead || member.State == MemberUnreachable {
			// Asking would only take time, but what it knows is missing.
			answers[i] = answer{asked: true, err: errNotAsked}
			continue
		}
		answers[i].asked = true
		pending.Go(func() {
			permits <- struct{}{}
			defer func() { <-permits }()
			answers[i].err = g.caller.Call(ctx, member.Address, KindShow, request, &answers[i].knowledge)
		})
	}
	pending.Wait()
	return g.collect(members, answers)
}

// answer is what one member said.
type answer struct {
	asked     bool
	knowledge knowledge
	err       error
}

func (g *gatherer) collect(members []Member, answers []answer) gathered {
	var result gathered
	for i, member := range members {
		switch {
		case !answers[i].asked:
		case answers[i].err != nil:
			g.logger.WithError(answers[i].err).WithField("member", member.Name).Debug("no answer to SHOW")
			result.notHeard = append(result.notHeard, member.Name)
		default:
			result.knowledge = result.knowledge.merge(answers[i].knowledge)
			result.heard = append(result.heard, member.Name)
		}
	}
	slices.Sort(result.heard)
	slices.Sort(result.notHeard)
	return result
}

// Register takes the questions of other nodes.
func (c *Catalog) Register(registry peer.Registry) {
	registry.Handle(KindShow, func(_ context.Context, _ string, body json.RawMessage) (any, error) {
		var request ShowRequest
		if err := json.Unmarshal(body, &request); err != nil {
			return nil, err
		}
		return c.firstHand(request), nil
	})
}

// firstHand returns what this node knows itself of what the request asks for.
func (c *Catalog) firstHand(request ShowRequest) knowledge {
	var known knowledge
	switch request.Table {
	case query.TableSteps:
		known.Steps = snapshot(c.sources.Steps)
	case query.TableLeases:
		known.Leases = snapshot(c.sources.Leases)
	case query.TableExplain:
		if c.sources.Request != nil {
			known.Events = c.sources.Request(request.RequestID)
		}
	case query.TableEngines, query.TableApplications, query.TableVersions, query.TablePools, query.TableDrains:
		known.Reports = snapshot(c.sources.Reports)
	}
	return known
}

func snapshot[T any](source func() []T) []T {
	if source == nil {
		return nil
	}
	return source()
}
