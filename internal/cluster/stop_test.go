package cluster

import (
	"testing"
	"testing/synctest"
	"time"

	logtest "github.com/sirupsen/logrus/hooks/test"

	"github.com/sliplift/sliplift/internal/history"
	"github.com/sliplift/sliplift/internal/memnet"
	"github.com/sliplift/sliplift/internal/meshnode/operator"
	"github.com/sliplift/sliplift/internal/meshnode/query"
)

// TestPlannedStopAnswersOperators proves that a statement which waits when its
// node stops is answered: the operator hears that the change stands.
func TestPlannedStopAnswersOperators(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		logger, _ := logtest.NewNullLogger()
		config := DefaultConfig(logger, history.Discard{})
		config.Network = Memory{memnet.NewNetwork()}
		running, err := Start(config)
		if err != nil {
			t.Fatal(err)
		}
		defer running.Close()
		time.Sleep(5 * time.Second)
		// A node that is gone confirms nothing, so the statement goes on waiting.
		if err := running.KillNode(NodeName(2)); err != nil {
			t.Fatal(err)
		}
		stopped := make(chan error, 1)
		time.AfterFunc(time.Second, func() { stopped <- running.StopNode(t.Context(), NodeName(1)) })
		var answer query.Result
		client := operator.NewClient(running.HTTPClient("operator"), running.Nodes()[0].Operator)
		_, err = client.Query(t.Context(), operator.QueryRequest{Statements: "SET weights.swap_share = 0.5 WAIT 60 SECONDS"},
			func(result query.Result) { answer = result })
		if err != nil || answer.Change == nil || answer.Change.Revision == 0 {
			t.Errorf("answer %+v, %v", answer.Change, err)
		}
		if err := <-stopped; err != nil {
			t.Error(err)
		}
	})
}
