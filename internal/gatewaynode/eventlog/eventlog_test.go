package eventlog

import (
	"bytes"
	"encoding/json"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
)

// output is a writer that can be blocked.
type output struct {
	mu      sync.Mutex
	content bytes.Buffer
	block   chan struct{}
}

func (o *output) Write(line []byte) (int, error) {
	if o.block != nil {
		<-o.block
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.content.Write(line)
}

func newLog(out *output) *Log {
	logger := logrus.New()
	logger.SetFormatter(&logrus.JSONFormatter{})
	return New(logger, out)
}

func TestLineIsOneObject(t *testing.T) {
	out := &output{}
	log := newLog(out)
	counted := 0
	log.SetNode("n1")
	log.SetCounter(func(string) { counted++ })
	log.Info(JobAccepted, Fields{Job: "j", Count: 3})
	log.Close()
	var line map[string]any
	if err := json.Unmarshal(out.content.Bytes(), &line); err != nil {
		t.Fatal(err)
	}
	if line[Event] != JobAccepted || line[Job] != "j" || line[Count] != 3.0 || line[From] != "n1" || counted != 1 {
		t.Fatalf("line %v", line)
	}
}

func TestRateIsBoundedAndDropsAreSaid(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &output{}
		log := newLog(out)
		stop := make(chan struct{})
		go log.ReportDropped(stop)
		const lines = 5000
		for range lines {
			log.Info(ItemDone, Fields{Item: "i"})
			synctest.Wait()
		}
		time.Sleep(2 * dropReport)
		close(stop)
		log.Close()
		synctest.Wait()
		written := strings.Count(out.content.String(), ItemDone)
		if written > LinesBurst+1 || log.Dropped() != int64(lines-written) {
			t.Fatalf("%d lines written, %d dropped", written, log.Dropped())
		}
		if !strings.Contains(out.content.String(), LinesDropped) {
			t.Fatal("dropped lines were not said")
		}
	})
}

func TestBlockedOutputBlocksNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &output{block: make(chan struct{})}
		log := newLog(out)
		started := time.Now()
		for range 4 * bufferedLines {
			log.Info(ItemDone, Fields{Item: "i"})
		}
		if time.Since(started) != 0 {
			t.Fatal("a line waited for the output")
		}
		if log.Dropped() == 0 {
			t.Fatal("nothing was counted as dropped")
		}
		close(out.block)
		log.Close()
	})
}

// TestLinesThatAreNotTakenAreCounted checks that lines count as dropped if nobody reads the output.
func TestLinesThatAreNotTakenAreCounted(t *testing.T) {
	reader, writer := io.Pipe()
	_ = reader.Close()
	logger := logrus.New()
	log := New(logger, writer)
	log.Info(JobAccepted, nil)
	log.Info(JobEnded, nil)
	log.Close()
	if log.Dropped() != 2 {
		t.Errorf("%d lines dropped, want 2", log.Dropped())
	}
}

func TestLevel(t *testing.T) {
	out := &output{}
	log := newLog(out)
	log.Logger().SetLevel(logrus.WarnLevel)
	log.Info(ItemDone, nil)
	log.Warn(ItemDead, nil)
	log.Close()
	if got := out.content.String(); strings.Contains(got, ItemDone) || !strings.Contains(got, ItemDead) {
		t.Fatalf("log %q", got)
	}
}
