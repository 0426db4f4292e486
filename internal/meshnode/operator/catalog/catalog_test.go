package catalog

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"

	"github.com/sliplift/sliplift/internal/api"
	"github.com/sliplift/sliplift/internal/meshnode/configlog"
	"github.com/sliplift/sliplift/internal/meshnode/peer"
	"github.com/sliplift/sliplift/internal/meshnode/query"
)

// fakeNetwork joins catalogs without a transport. An address without a handler
// never answers.
type fakeNetwork map[string]peer.Handler

func (n fakeNetwork) Send(string, peer.Kind, any) {}

func (n fakeNetwork) Call(ctx context.Context, address string, _ peer.Kind, body, response any) error {
	handler, up := n[address]
	if !up {
		<-ctx.Done()
		return ctx.Err()
	}
	request, err := json.Marshal(body)
	if err != nil {
		return err
	}
	value, err := handler(ctx, "node-1", request)
	if err != nil {
		return err
	}
	answer, err := json.Marshal(value)
	if err != nil {
		return err
	}
	return json.Unmarshal(answer, response)
}

// registration puts a catalog's handler on the network.
type registration struct {
	network fakeNetwork
	address string
}

func (r registration) Handle(_ peer.Kind, handler peer.Handler) { r.network[r.address] = handler }

// nodeAddress is where a test node is reached.
func nodeAddress(name string) string { return name + ":7002" }

// testCluster is three nodes, of which node-3 does not answer.
func testCluster(t *testing.T) *Catalog {
	network := fakeNetwork{}
	state := testState(t)
	logger, _ := logtest.NewNullLogger()
	settings := query.SettingSpecs{{Key: "weights.swap_share", Kind: query.KindNumber, Default: "0.25"}}
	newNode := func(name string, sources Sources) *Catalog {
		sources.Config = func() (*configlog.State, bool) { return state.State(), true }
		sources.Entries = func() []configlog.Entry { entries, _ := state.EntriesAfter(0); return entries }
		sources.Members = testMembers
		node := NewCatalog(logger, Config{Node: name, Settings: settings}, sources, network)
		node.Register(registration{network, nodeAddress(name)})
		return node
	}
	newNode("node-2", Sources{
		Reports: func() []Report {
			return []Report{testReport("engine-2", "node-2", 12, 0, 40), testReport("engine-1", "node-2", 11, 0, 900)}
		},
		Steps: func() []Step {
			return []Step{
				{Trainer: "titles", Step: 4, Pool: "chat", State: "open", Owner: "node-2", Epoch: 2, Samples: 64, Finished: 30, Delivered: 16, Acknowledged: 8, AgeMS: 4000},
				{Trainer: "warnings", Step: 9, Pool: "chat", State: "open", Owner: "node-2", Epoch: 1, Samples: 8, AgeMS: 100},
			}
		},
		Leases:  func() []Lease { return []Lease{{Shard: "chat/0", Holder: "node-2", Epoch: 7, ExpiresInMS: 8000}} },
		Request: func(string) []RequestEvent { return nil },
	})
	return newNode("node-1", Sources{
		Reports: func() []Report {
			return []Report{testReport("engine-1", "node-1", 12, 13, 120), testReport("board-1", "node-1", 0, 0, 60)}
		},
		Steps: func() []Step {
			return []Step{{Trainer: "titles", Step: 4, Pool: "chat", State: "lost", Owner: "node-1", Epoch: 1, Samples: 64, AgeMS: 90000}}
		},
		Leases: func() []Lease { return nil },
		Request: func(id string) []RequestEvent {
			if id != "r-17" {
				return nil
			}
			return []RequestEvent{
				{AfterMS: 0, Node: "node-1", Attempt: 1, Event: "chosen", Backend: "engine-1", Reason: "fewest in flight of 2"},
				{AfterMS: 2100, Node: "node-1", Attempt: 1, Event: "answered", Backend: "engine-1"},
			}
		},
	})
}

func testMembers() []Member {
	now := time.Now()
	return []Member{
		{Name: "node-1", Address: nodeAddress("node-1"), Zone: "hall-1", Region: "cardiff", State: MemberAlive, Source: "node-1", Incarnation: 1, Revision: 5, LastHeard: now},
		{Name: "node-2", Address: nodeAddress("node-2"), Zone: "hall-2", Region: "cardiff", State: MemberAlive, Source: "node-2", Incarnation: 1764660000123456789, Revision: 4, LastHeard: now.Add(-400 * time.Millisecond)},
		{Name: "node-4", Address: nodeAddress("node-4"), Zone: "quay", Region: "harbour", State: MemberUnreachable, Source: "node-1", Incarnation: 2, Revision: 5, LastHeard: now.Add(-time.Minute)},
		{Name: "node-3", Address: nodeAddress("node-3"), Zone: "hall-2", Region: "cardiff", State: MemberSuspect, Source: "node-2"},
	}
}

func testReport(backend, node string, version, loading, ageMS int64) Report {
	return Report{Node: node, AgeMS: ageMS, Load: api.LoadReport{
		Backend: backend, Running: 5, Capacity: 8, Version: version, Loading: loading, Role: api.RoleServing,
	}}
}

func testState(t *testing.T) *configlog.Log {
	engine := func(name, zone string) configlog.Backend {
		return configlog.Backend{Name: name, Address: "10.0.0.1:9000", Zone: zone, Region: "cardiff"}
	}
	log := configlog.NewLog()
	for i, operation := range []configlog.Operation{
		{CreatePool: &configlog.CreatePool{Pool: configlog.Pool{
			Name: "chat", Kind: configlog.PoolEngines, Model: "chat-7b", VersionBound: 4, DefaultPriority: 10, IdleWeight: 0.7,
			Backends: []configlog.Backend{engine("engine-1", "hall-1"), engine("engine-2", "hall-2"), engine("engine-3", "hall-2")}}}},
		{CreatePool: &configlog.CreatePool{Pool: configlog.Pool{
			Name: "board", Kind: configlog.PoolApplications, Backends: []configlog.Backend{engine("board-1", "hall-1")}}}},
		{PublishVersion: &configlog.PublishVersion{Pool: "chat", Version: 13}},
		{AddDrain: &configlog.AddDrain{Scope: configlog.DrainZone, Name: "hall-1"}},
		{AddDrain: &configlog.AddDrain{Scope: configlog.DrainEngine, Name: "engine-3"}},
	} {
		next, err := log.Extend(configlog.Entry{
			Revision: log.Revision() + 1,
			Change:   configlog.Change{ID: fmt.Sprintf("change-%d", i+1), Author: "anna", Operation: operation},
		})
		if err != nil {
			t.Fatal(err)
		}
		log = next
	}
	return log
}

// TestCatalog shows every table as node-1 answers it: what others know better
// comes from them, and who does not answer is named.
func TestCatalog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		node := testCluster(t)
		datadriven.RunTest(t, "testdata/catalog", func(t *testing.T, d *datadriven.TestData) string {
			var table query.Table
			var err error
			if d.Cmd == "explain" {
				table, err = node.Explain(t.Context(), strings.TrimSpace(d.Input))
			} else {
				table, err = node.Show(t.Context(), query.TableName(d.Cmd))
			}
			if err != nil {
				return err.Error() + "\n"
			}
			table.AsOf = time.Time{}.AddDate(1999, 0, 0)
			var b strings.Builder
			if err := query.Render(&b, query.Result{Table: &table}, query.OutputTable, 0); err != nil {
				t.Fatal(err)
			}
			return b.String()
		})
	})
}

// TestNothingIsReadAsEmpty proves that a part which is not there is an error.
func TestNothingIsReadAsEmpty(t *testing.T) {
	members := func() []Member { return nil }
	unread := func() (*configlog.State, bool) { return nil, false }
	read := func() (*configlog.State, bool) { return configlog.EmptyState(), true }
	cases := []struct {
		table   query.TableName
		sources Sources
		refused bool
	}{
		{query.TablePools, Sources{}, true},
		{query.TablePools, Sources{Config: unread, Members: members}, true},
		{query.TablePools, Sources{Config: read, Members: members}, false},
		{query.TableNodes, Sources{Config: unread, Members: members}, false},
		{query.TableSteps, Sources{Config: read, Members: members}, true},
		{query.TableLeases, Sources{Config: read, Members: members}, true},
		{query.TableChanges, Sources{Config: read, Members: members}, true},
	}
	for _, c := range cases {
		_, err := NewCatalog(logrus.New(), Config{Node: "n"}, c.sources, nil).Show(t.Context(), c.table)
		if (err != nil) != c.refused {
			t.Errorf("%s over %+v: %v", c.table, c.sources, err)
		}
	}
}
