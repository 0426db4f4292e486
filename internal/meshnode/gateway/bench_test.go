package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/sliplift/sliplift/internal/api"
	"github.com/sliplift/sliplift/internal/meshnode/backend"
	"github.com/sliplift/sliplift/internal/meshnode/configlog"
	"github.com/sliplift/sliplift/internal/meshnode/dispatch"
	"github.com/sliplift/sliplift/internal/meshnode/engine"
)

const (
	benchFrames      = 16
	benchFrameTokens = 8
)

// benchEngine answers at once with benchFrames frames over loopback TCP.
func benchEngine(b *testing.B) (address string) {
	text := strings.Repeat("word ", benchFrameTokens)
	checksum := fmt.Sprintf("%016x", xxhash.Sum64String(strings.Repeat(text, benchFrames)))
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/load", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(api.LoadReport{Capacity: 64, Role: api.RoleServing})
	})
	mux.HandleFunc("POST /v1/generate", func(w http.ResponseWriter, r *http.Request) {
		var request api.GenerateRequest
		_ = json.NewDecoder(r.Body).Decode(&request)
		encoder := json.NewEncoder(w)
		frame := api.StreamFrame{RequestID: request.RequestID, Attempt: request.Attempt, Version: 1, Tokens: benchFrameTokens, Text: text}
		for ; frame.Sequence < benchFrames; frame.Sequence++ {
			if frame.Sequence == benchFrames-1 {
				frame.Done, frame.FinishReason = true, api.FinishStop
				frame.TotalTokens, frame.Checksum = benchFrames*benchFrameTokens, checksum
			}
			_ = encoder.Encode(frame)
		}
	})
	server := httptest.NewServer(mux)
	b.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func benchClient(b *testing.B) *http.Client {
	transport := engine.NewTransport(nil)
	b.Cleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: transport}
}

// BenchmarkDirect calls the engine itself: the baseline of BenchmarkNode.
func BenchmarkDirect(b *testing.B) {
	client := engine.NewClient(benchClient(b))
	address := benchEngine(b)
	request := api.GenerateRequest{RequestID: "r", Pool: "p", Prompt: "p", MaxTokens: 128}
	run(b, func() error {
		return client.Generate(context.Background(), address, request, nil).Err
	})
}

// BenchmarkNode calls the engine through a node's caller port.
func BenchmarkNode(b *testing.B) {
	lg := logrus.New()
	lg.SetOutput(io.Discard)
	engines := engine.NewClient(benchClient(b))
	set := backend.NewSet(lg, backend.DefaultConfig("n", "z", "r"), engines)
	b.Cleanup(set.Close)
	pool := configlog.Pool{Name: "p", Kind: configlog.PoolEngines}
	for i := range 9 {
		pool.Backends = append(pool.Backends, configlog.Backend{Name: fmt.Sprint("e", i), Address: benchEngine(b), Zone: "z"})
	}
	set.Apply(&configlog.State{Revision: 1, Pools: map[string]configlog.Pool{"p": pool}})
	dispatcher, err := dispatch.NewDispatcher(lg, dispatch.DefaultConfig("n", "z"), engines, set, nil)
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(dispatcher.Close)
	server := NewServer(lg, Config{}, Services{Live: dispatcher, Pools: set}, prometheus.NewRegistry())
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	go server.Serve(listener)
	b.Cleanup(func() { server.Close() })

	caller := benchClient(b)
	url := "http://" + listener.Addr().String() + "/v1/requests"
	body := `{"pool":"p","deadline_ms":10000,"repeatable":true,"prompt":"p","max_tokens":128}`
	run(b, func() error {
		response, err := caller.Post(url, "application/json", strings.NewReader(body))
		if err != nil {
			return err
		}
		defer response.Body.Close()
		var answer api.LiveResponse
		if err := json.NewDecoder(response.Body).Decode(&answer); err != nil {
			return err
		}
		if answer.Tokens != benchFrames*benchFrameTokens {
			return fmt.Errorf("%d tokens", answer.Tokens)
		}
		_, err = io.Copy(io.Discard, response.Body)
		return err
	})
}

func run(b *testing.B, send func() error) {
	b.Run("one", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			if err := send(); err != nil {
				b.Fatal(err)
			}
		}
	})
	b.Run("parallel", func(b *testing.B) {
		b.ReportAllocs()
		b.SetParallelism(4)
		started := time.Now()
		b.RunParallel(func(pb *testing.PB) {
			for pb.Next() {
				if err := send(); err != nil {
					b.Error(err)
					return
				}
			}
		})
		b.ReportMetric(float64(b.N)/time.Since(started).Seconds(), "requests/s")
	})
}
