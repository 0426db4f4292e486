package telemetry

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/sliplift/sliplift/internal/history"
)

// historyFlushInterval bounds what a killed process loses of its history.
const historyFlushInterval = 100 * time.Millisecond

// OpenHistory returns a sink that appends to the file at path and flushes it
// every 100 ms and at closing. With an empty path it returns a sink that drops
// everything. The returned function must be called once, at the end.
func OpenHistory(lg logrus.FieldLogger, path string) (history.Sink, func(), error) {
	if path == "" {
		return history.Discard{}, func() {}, nil
	}
	sink, err := history.NewFileSink(path)
	if err != nil {
		return nil, nil, err
	}
	stop := make(chan struct{})
	var flusher sync.WaitGroup
	flusher.Go(func() { flushEvery(lg, sink, stop) })
	return sink, func() {
		close(stop)
		flusher.Wait()
		warnOnError(lg, sink.Close())
	}, nil
}

func flushEvery(lg logrus.FieldLogger, sink *history.WriterSink, stop <-chan struct{}) {
	ticker := time.NewTicker(historyFlushInterval)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
			warnOnError(lg, sink.Flush())
		}
	}
}

func warnOnError(lg logrus.FieldLogger, err error) {
	if err != nil {
		lg.WithError(err).Warn("history: events lost")
	}
}
