package storenode

import (
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"maps"
	"slices"
	"time"

	"github.com/sliplift/sliplift/internal/gatewaynode/digest"
	"github.com/sliplift/sliplift/internal/gatewaynode/eventlog"
	"github.com/sliplift/sliplift/internal/gatewaynode/fleet"
	"github.com/sliplift/sliplift/internal/gatewaynode/place"
	"github.com/sliplift/sliplift/internal/gatewaynode/presence"
	"github.com/sliplift/sliplift/internal/gatewaynode/rowstore"
)

// directMost is up to how many nodes all of them read the registry of back ends themselves.
// At 330 nodes before 1,600 back ends that is some 50 MB a second from the store; it grows
// with both, to 690 at 986 nodes and 10,000 back ends, more than the store's link carries.
const directMost = 400

// sourceBackends names the registry of back ends in digests.
const sourceBackends = "backends"

// followRegistry sets up how the registry of back ends is followed.
func (n *Node) followRegistry() {
	timing := digest.Timing{Fresh: n.config.FreshMost}
	n.instances = rowstore.NewView(n.config.Log, n.config.Store, rowstore.ViewConfig{
		Name: "back ends", Table: n.config.InstanceTable, Partitions: []string{""},
		Wait: func() time.Duration { return n.registryWait(timing) },
		Pace: n.pacing.RegistryPace, Apply: n.applyRegistry,
	})
	n.digest = digest.NewFollower(n.config.Log, n.config.Store, timing, n.pacing.FreshWait, n.pacing.RegistryPace)
	n.registry = digest.NewMirror(digest.MirrorConfig{
		Source: sourceBackends, View: n.instances, Apply: n.applyDigest, Sum: n.backendsSum, Follower: n.digest, Log: n.config.Log, Timing: timing,
		Wanted: n.needsRegistry, Crowded: n.crowded,
	})
	n.publisher = digest.NewPublisher(digest.PublisherConfig{
		Store: n.config.Store, Log: n.config.Log, Self: n.config.Self.Name, Incarnation: n.config.Self.Incarnation,
		Source: digest.Source{
			Name: sourceBackends, Reached: n.registry.Reached, Outage: n.registry.Outage, Keys: n.backendIDs, Entry: n.digestEntry,
			Sum: digestSum,
		},
		Timing: timing, TransactionRows: n.config.Limits.TransactionRows, Follower: n.digest, Rank: n.digestRank,
	})
}

// registryWait returns how long a watch of the registry stays open.
func (n *Node) registryWait(timing digest.Timing) time.Duration {
	if n.presence.Size() > directMost {
		return timing.WatchWait()
	}
	return n.pacing.FreshWait()
}

// needsRegistry tells whether this node needs all that the registry tells: which weights
// each back end holds, as who runs jobs or gives orders does, or is soon to. The others are
// served by the digest, where nodes are many.
func (n *Node) needsRegistry(now time.Time) bool {
	if !n.presence.View().Status().Loaded {
		// It does not know yet.
		return false
	}
	return n.presence.Size() <= directMost || n.jobs.IsKeeper(now) || n.jobs.OwnsJobs() || n.controller.Near()
}

// crowded tells whether nodes are known to be too many for all to read the registry.
func (n *Node) crowded() bool {
	return n.presence.View().Status().Loaded && n.presence.Size() > directMost
}

// digestFrom returns from which revision on this node wants the digest, if it does: once the
// registry was read, where nodes are many.
func (n *Node) digestFrom() (revision int64, wanted bool) {
	revision, ok := n.registry.FollowFrom()
	return revision, ok && n.crowded()
}

// digestKey is what nodes are ranked by for the publishing of the digest.
const digestKey = "digest"

// digestRank returns this node's place among those that publish the digest when a node is
// not counted: they are the keepers of jobs, which read the registry anyway.
func (n *Node) digestRank(without string, now time.Time) int {
	if n.presence.Size() <= directMost {
		return -1
	}
	keepers := slices.Clone(n.presence.Members(now).KeepersWithin(place.Regions{}))
	keepers = slices.DeleteFunc(keepers, func(k presence.Node) bool { return k.Name == without && k.Name != n.config.Self.Name })
	return presence.Place(presence.Rank(keepers, digestKey), n.config.Self.Name)
}

// backendIDs returns the ids of all back ends.
func (n *Node) backendIDs() []string {
	backends := n.fleet.All(time.Now())
	ids := make([]string, len(backends))
	for i := range backends {
		ids[i] = backends[i].ID
	}
	return ids
}

// backendDigest is what matters of a back end to nodes that run no jobs there. Which weights
// it holds changes every few seconds and is left out.
type backendDigest struct {
	Service  string   `json:"service"`
	Address  string   `json:"address"`
	Zone     string   `json:"zone"`
	Slots    int      `json:"slots"`
	Draining bool     `json:"draining,omitempty"`
	Models   []string `json:"models,omitempty"`
	Born     int64    `json:"born,omitempty"`
	// ColdMillis is for how much longer it stays cold from the entry's writing on.
	ColdMillis int64 `json:"cold_ms,omitempty"`
}

// digestEntry returns what the digest says of a back end.
func (n *Node) digestEntry(id string) (content json.RawMessage, revision int64, present bool) {
	b, found := n.fleet.Get(id, time.Now())
	if !found {
		return nil, 0, false
	}
	encoded, err := json.Marshal(backendDigest{
		Service: b.Service, Address: b.Address, Zone: b.Zone, Slots: b.Slots, Draining: b.Draining,
		Models: slices.Sorted(maps.Keys(b.Instance.Models)), Born: b.StartedAt, ColdMillis: b.Instance.ColdDuration.Milliseconds(),
	})
	if err != nil {
		panic("storenode: a back end cannot be encoded: " + err.Error())
	}
	return encoded, b.Revision, true
}

// backendSum is what a back end adds to the sum of a digest. How long it stays cold is left out: it
// changes by itself.
func backendSum(id, address string, draining bool) uint64 {
	hash := fnv.New64a()
	// Writing to a hash does not fail.
	_, _ = fmt.Fprintf(hash, "%s %s %t", id, address, draining)
	return hash.Sum64()
}

// digestSum is backendSum of what the digest says of a back end.
func digestSum(id string, content json.RawMessage) uint64 {
	var told backendDigest
	if err := json.Unmarshal(content, &told); err != nil {
		// Whoever follows the digest drops such a row.
		return 0
	}
	return backendSum(id, told.Address, told.Draining)
}

// backendsSum returns the sum of all back ends.
func (n *Node) backendsSum() uint64 {
	sum := uint64(0)
	for _, b := range n.fleet.All(time.Now()) {
		sum += backendSum(b.ID, b.Address, b.Draining)
	}
	return sum
}

// unknownVersion stands for the version of weights that a digest does not tell: older than
// any that an item wants.
const unknownVersion = 0

// readDigest reads what the digest says of a back end.
func readDigest(row rowstore.Row) (fleet.Instance, error) {
	var told backendDigest
	if err := json.Unmarshal(row.Value, &told); err != nil {
		return fleet.Instance{}, err
	}
	instance := fleet.Instance{
		ID: row.Key, Service: told.Service, Address: told.Address, Zone: told.Zone, Slots: told.Slots, Draining: told.Draining,
		ColdDuration: time.Duration(told.ColdMillis) * time.Millisecond, StartedAt: told.Born, Revision: row.Revision,
	}
	if len(told.Models) > 0 {
		instance.Models = make(map[string]int64, len(told.Models))
	}
	for _, model := range told.Models {
		instance.Models[model] = unknownVersion
	}
	return instance, nil
}

// applyRegistry takes rows of the registry itself.
func (n *Node) applyRegistry(rows []rowstore.Row, complete bool) {
	n.applyInstances(rows, complete, n.config.Translator.Instance)
	if complete {
		n.publisher.TouchAll()
		return
	}
	keys := make([]string, len(rows))
	for i := range rows {
		keys[i] = rows[i].Key
	}
	n.publisher.Touch(keys...)
}

// applyDigest takes rows of the registry's digest.
func (n *Node) applyDigest(rows []rowstore.Row, complete bool) {
	n.applyInstances(rows, complete, readDigest)
}

// runDigest follows the digest, and publishes it when it is this node's turn, until ctx
// ends.
func (n *Node) runDigest(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		n.publisher.Run(ctx)
	}()
	n.digest.Run(ctx, n.startedAmong > directMost, n.digestFrom)
	<-done
}

// Registry tells how the registry of back ends is followed: the way, how long ago it was
// certain to be known whole, and who publishes its digest.
func (n *Node) Registry() RegistryStatus {
	age, known := n.registry.Age(time.Now())
	standing, _ := n.digest.Standing()
	return RegistryStatus{Way: n.registry.Way(), Age: age, Known: known, Publisher: standing.Proof.Publisher, Publishes: n.publisher.Active()}
}

// RegistryStatus is how a node follows the registry of back ends.
type RegistryStatus struct {
	Way digest.Way
	// Age is how long ago the registry was certain to be known whole, if Known.
	Age   time.Duration
	Known bool
	// Publisher is the node that publishes the digest, empty if there is none; Publishes
	// tells that it is this one.
	Publisher string
	Publishes bool
}

// noteUnreadable tells of a row of the registry that names no back end, once a change.
func (n *Node) noteUnreadable(row rowstore.Row, err error) {
	n.config.Log.Warn(eventlog.RowUnreadable, eventlog.Fields{
		eventlog.Table: n.config.InstanceTable, eventlog.Key: row.Key, eventlog.Revision: row.Revision, eventlog.Cause: err.Error(),
	})
}
