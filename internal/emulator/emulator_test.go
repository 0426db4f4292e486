package emulator_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"

	"github.com/sliplift/sliplift/internal/api"
	"github.com/sliplift/sliplift/internal/emulator"
	"github.com/sliplift/sliplift/internal/emulator/application"
	"github.com/sliplift/sliplift/internal/emulator/engine"
	"github.com/sliplift/sliplift/internal/emulator/fault"
	"github.com/sliplift/sliplift/internal/emulator/scoring"
	"github.com/sliplift/sliplift/internal/emulator/weight"
	"github.com/sliplift/sliplift/internal/history"
	"github.com/sliplift/sliplift/internal/memnet"
	client "github.com/sliplift/sliplift/internal/meshnode/engine"
	"github.com/sliplift/sliplift/internal/meshnode/storeclient"
)

func logger() logrus.FieldLogger {
	lg, _ := logtest.NewNullLogger()
	return lg
}

func config() emulator.Config {
	c := emulator.DefaultConfig()
	c.Engines = []engine.Config{engine.DefaultConfig("engine-1")}
	c.Applications = []application.Config{application.DefaultConfig("preview-1")}
	c.Machines.Machines = []api.Machine{{Name: "engine-1", State: api.MachineLive}}
	return c
}

// TestServicesOverTCP calls every service on its free port.
func TestServicesOverTCP(t *testing.T) {
	c := config()
	listen := func(address string) (net.Listener, error) { return net.Listen("tcp", address) }
	running, err := emulator.Start(c, listen, http.DefaultClient, history.Discard{}, logger())
	if err != nil {
		t.Fatal(err)
	}
	defer running.Close()
	services := storeclient.NewClient(http.DefaultClient, running.ServiceAddresses(c))
	checkServices(t.Context(), t, services)
}

func checkServices(ctx context.Context, t *testing.T, client *storeclient.Client) {
	t.Helper()
	if err := client.PutObject(ctx, "batch/1", []byte("content")); err != nil {
		t.Error(err)
	}
	if content, err := client.GetObject(ctx, "batch/1"); err != nil || string(content) != "content" {
		t.Errorf("object %q, error %v", content, err)
	}
	if err := client.DeleteObject(ctx, "batch/1"); err != nil {
		t.Error(err)
	}
	if _, err := client.GetObject(ctx, "batch/1"); !storeclient.HasCode(err, api.CodeNotFound) {
		t.Errorf("deleted object: %v", err)
	}
	put := api.WeightVersion{Model: "language", Version: 2, Bytes: 10}
	if err := client.PutWeights(ctx, put); err != nil {
		t.Error(err)
	}
	if got, err := client.GetWeights(ctx, "language", 2); err != nil || got != put {
		t.Errorf("weights %+v, error %v", got, err)
	}
	if list, err := client.Machines(ctx); err != nil || len(list.Machines) != 1 {
		t.Errorf("machines %+v, error %v", list, err)
	}
	score, err := client.Score(ctx, api.ScoreRequest{Prompt: "prompt", Text: "text"})
	if err != nil || score.Score != scoring.TextScore("prompt", "text") {
		t.Errorf("score %v, error %v", score, err)
	}
	if _, err := client.Commit(ctx, api.Transaction{Puts: []api.Put{{Key: "a/b", Value: []byte("x")}}}); err != nil {
		t.Error(err)
	}
	if row, err := client.Get(ctx, "a/b"); err != nil || string(row.Value) != "x" {
		t.Errorf("row %+v, error %v", row, err)
	}
}

// TestControlPort drives the control port inside a bubble.
func TestControlPort(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := config()
		c.ControlAddress, c.Table.Address, c.Objects.Address = "control:1", "table:1", "objects:1"
		c.Weights.Address, c.Machines.Address, c.Scoring.Address = "weights:1", "machines:1", "scoring:1"
		c.Engines[0].Address, c.Applications[0].Address = "engine-1:1", "preview-1:1"
		network := memnet.NewNetwork()
		running, err := emulator.Start(c, network.Listen, nil, history.Discard{}, logger())
		if err != nil {
			t.Fatal(err)
		}
		defer running.Close()
		transport := &http.Transport{DialContext: network.Dialer("client"), DisableKeepAlives: true}
		httpClient := &http.Client{Transport: transport}
		checkServices(t.Context(), t, storeclient.NewClient(httpClient, running.ServiceAddresses(c)))

		steps := []struct {
			method, path string
			body         any
			status       int
		}{
			{http.MethodPost, "/v1/faults", fault.Fault{Target: "table", Kind: fault.KindDown}, http.StatusCreated},
			{http.MethodPost, "/v1/faults", fault.Fault{Target: "nobody", Kind: fault.KindDown}, http.StatusBadRequest},
			{http.MethodPost, "/v1/faults", fault.Fault{Target: "table", Kind: "flood"}, http.StatusBadRequest},
			{http.MethodDelete, "/v1/faults/1", nil, http.StatusNoContent},
			{http.MethodDelete, "/v1/faults/1", nil, http.StatusNotFound},
			{http.MethodPost, "/v1/machines/engine-1/state", emulator.MachineStateRequest{State: api.MachineLeaving}, http.StatusNoContent},
			{http.MethodPost, "/v1/machines/nobody/state", emulator.MachineStateRequest{State: api.MachineLeaving}, http.StatusNotFound},
			{http.MethodPost, "/v1/backends/preview-1/leaving", emulator.LeavingRequest{Leaving: true}, http.StatusNoContent},
			{http.MethodPost, "/v1/backends/engine-1/leaving", emulator.LeavingRequest{Leaving: true}, http.StatusNoContent},
			{http.MethodPost, "/v1/backends/nobody/leaving", emulator.LeavingRequest{Leaving: true}, http.StatusNotFound},
		}
		for _, step := range steps {
			if status := send(t, httpClient, step.method, "http://control:1"+step.path, step.body); status != step.status {
				t.Errorf("%s %s: status %d", step.method, step.path, status)
			}
		}
		if got := machineState(t, running); got != api.MachineLive {
			t.Errorf("at once: %s", got)
		}
		time.Sleep(c.Machines.Lag + time.Millisecond)
		if got := machineState(t, running); got != api.MachineLeaving {
			t.Errorf("after the lag: %s", got)
		}
		for _, name := range []string{"engine-1", "preview-1"} {
			if report := load(t, httpClient, name); !report.Leaving {
				t.Errorf("%s: %+v", name, report)
			}
		}
	})
}

func send(t *testing.T, client *http.Client, method, url string, body any) int {
	t.Helper()
	encoded, err := json.Marshal(body)
	if err != nil {
		t.Fatal(err)
	}
	request, err := http.NewRequestWithContext(t.Context(), method, url, bytes.NewReader(encoded))
	if err != nil {
		t.Fatal(err)
	}
	response, err := client.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	response.Body.Close()
	return response.StatusCode
}

// load asks a back end on port 1 of the host of its name.
func load(t *testing.T, httpClient *http.Client, name string) api.LoadReport {
	t.Helper()
	report, err := client.NewClient(httpClient).Load(t.Context(), name+":1")
	if err != nil {
		t.Fatal(err)
	}
	return report
}

func machineState(t *testing.T, running *emulator.Emulator) api.MachineState {
	t.Helper()
	list, err := running.Machines().Machines(t.Context())
	if err != nil || len(list.Machines) != 1 {
		t.Fatal(list, err)
	}
	return list.Machines[0].State
}

// TestStartRefusesNamesTwice checks that nothing stays open after a refusal.
func TestStartRefusesNamesTwice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := emulator.Config{}
		for i := range 2 {
			twin := engine.DefaultConfig("twin")
			twin.Address = fmt.Sprintf("twin:%d", i)
			c.Engines = append(c.Engines, twin)
		}
		network := memnet.NewNetwork()
		if _, err := emulator.Start(c, network.Listen, nil, history.Discard{}, logger()); err == nil {
			t.Error("started")
		}
		if _, err := network.Listen("twin:0"); err != nil {
			t.Error(err)
		}
	})
}

// TestRemoteWeightStore lets an engine pull from a store in another process,
// whose pulls take one second and go one at a time.
func TestRemoteWeightStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := memnet.NewNetwork()
		transport := &http.Transport{DialContext: network.Dialer("client"), DisableKeepAlives: true}
		httpClient := &http.Client{Transport: transport}
		store := emulator.Config{Weights: &weight.Config{Name: "weights", Address: "weights:1", ConcurrentPulls: 1, BytesPerSecond: 1}}
		engines := emulator.Config{WeightStoreAddress: "weights:1"}
		for _, name := range []string{"engine-1", "engine-2"} {
			puller := engine.DefaultConfig(name)
			puller.Address = name + ":1"
			engines.Engines = append(engines.Engines, puller)
		}
		for _, c := range []emulator.Config{store, engines} {
			running, err := emulator.Start(c, network.Listen, httpClient, history.Discard{}, logger())
			if err != nil {
				t.Fatal(err)
			}
			defer running.Close()
		}
		platformClient := storeclient.NewClient(httpClient, storeclient.Addresses{Weights: "weights:1"})
		if err := platformClient.PutWeights(t.Context(), api.WeightVersion{Model: "language", Version: 2, Bytes: 1}); err != nil {
			t.Fatal(err)
		}
		order := api.Order{Epoch: 1, Kind: api.OrderLoadVersion, Version: 2}
		for _, name := range []string{"engine-1", "engine-2"} {
			if _, err := client.NewClient(httpClient).Order(t.Context(), name+":1", order); err != nil {
				t.Error(err)
			}
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(10 * time.Second)
		for _, name := range []string{"engine-1", "engine-2"} {
			if report := load(t, httpClient, name); report.Version != 2 {
				t.Errorf("%+v", report)
			}
		}
	})
}
