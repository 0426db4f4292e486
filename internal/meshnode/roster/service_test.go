package roster

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus/hooks/test"

	"github.com/sliplift/sliplift/internal/meshnode/configlog"
	"github.com/sliplift/sliplift/internal/meshnode/membership"
)

// fakeCluster is the configuration, the lease and the membership of one node.
// Its answers are taken from outcomes first, and only then is a change applied.
type fakeCluster struct {
	state     *configlog.State
	held      bool
	names     []string
	outcomes  []configlog.Outcome
	submitted []configlog.Change
}

func (f *fakeCluster) Held(shard string) (int64, bool) { return 1, f.held && shard == LeaseShard }
func (f *fakeCluster) Ready() bool                     { return true }
func (f *fakeCluster) Current() *configlog.State       { return f.state }

func (f *fakeCluster) Submit(_ context.Context, change configlog.Change) configlog.Result {
	f.submitted = append(f.submitted, change)
	if len(f.outcomes) > 0 {
		outcome := f.outcomes[0]
		f.outcomes = f.outcomes[1:]
		return configlog.Result{Outcome: outcome}
	}
	next, err := configlog.Apply(f.state, change)
	if err != nil {
		return configlog.Result{Outcome: configlog.OutcomeConflict, Message: err.Error()}
	}
	f.state = next
	return configlog.Result{Outcome: configlog.OutcomeAccepted, Revision: next.Revision}
}

func (f *fakeCluster) InForce(context.Context, int64) configlog.ForceReport {
	return configlog.ForceReport{Confirmed: f.names}
}

func (f *fakeCluster) Snapshot() *membership.Snapshot {
	snapshot := &membership.Snapshot{}
	for _, name := range f.names {
		member := membership.Member{State: membership.StateAlive}
		member.Name, member.PeerAddress, member.Zone = name, name+":1", "a"
		snapshot.Members = append(snapshot.Members, member)
	}
	return snapshot
}

func (f *fakeCluster) run(t *testing.T, service *Service, howLong time.Duration) {
	ctx, cancel := context.WithTimeout(t.Context(), howLong)
	defer cancel()
	service.Run(ctx)
}

// TestChangeOfUnknownFateIsSettledFirst has an answer lost, then the table down,
// and another's change accepted in the meantime.
func TestChangeOfUnknownFateIsSettledFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lg, _ := test.NewNullLogger()
		cluster := &fakeCluster{
			state:    &configlog.State{Revision: 1},
			names:    []string{"n1", "n2", "n3"},
			outcomes: []configlog.Outcome{configlog.OutcomeUnknown, configlog.OutcomeUnavailable},
		}
		service := NewService(lg, Config{Node: "n1"}, cluster, cluster, cluster)
		cluster.run(t, service, time.Minute)
		if len(cluster.submitted) != 0 {
			t.Fatal("submitted without the lease")
		}
		cluster.held = true
		cluster.run(t, service, 1500*time.Millisecond)
		cluster.state, _ = configlog.Apply(cluster.state, configlog.NewChange("other", configlog.Operation{SetSetting: &configlog.SetSetting{Name: "x", Value: "y"}}))
		cluster.run(t, service, 20*time.Minute)

		all := cluster.submitted
		if len(all) != 4 || all[1].ID != all[0].ID || all[2].ID != all[0].ID || all[3].ID == all[0].ID || all[3].IfRevision != 2 {
			t.Errorf("submitted %+v", all)
		}
		if len(cluster.state.Claims.Current) != 3 || cluster.state.Claims.Revision != 3 {
			t.Errorf("claims %+v", cluster.state.Claims)
		}
		// A member that joins changes the list, and the former list goes in time.
		cluster.names = append(cluster.names, "n4")
		cluster.run(t, service, 20*time.Minute)
		if view := View(cluster.state, time.Now()); len(view.Members) != 4 || len(view.Previous) != 0 || view.Revision != 5 {
			t.Errorf("view %+v", view)
		}
	})
}
