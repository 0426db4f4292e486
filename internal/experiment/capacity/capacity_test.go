package capacity

import (
	"testing"
	"time"
)

// TestRun has three hollow nodes go through every phase. It judges what was
// counted, and no duration.
func TestRun(t *testing.T) {
	cfg := DefaultConfig()
	cfg.Nodes = []int{3}
	cfg.Measure = 400 * time.Millisecond
	cfg.Intervals = 2
	cfg.Settle = 0
	cfg.ChangeInterval = 200 * time.Millisecond
	cfg.Burst = 3
	cfg.Kills = 0
	cfg.Samplers = 2
	cfg.LoadTime = time.Millisecond
	cfg.FailShare = 0
	cfg.Slopes = false
	result, err := Run(t.Context(), cfg)
	if err != nil {
		t.Fatal(err)
	}
	size := result.Sizes[0]
	if size.Shards != 2 || size.MessagesOut <= 0 || size.BytesIn <= 0 || len(size.Kinds) == 0 || size.TableCalls <= 0 || size.WatchPolls <= 0 {
		t.Errorf("nothing was counted: %+v", size)
	}
	if size.Changes.Changes == 0 || size.Changes.Missing != 0 || size.Burst.Changes != cfg.Burst || size.Burst.Missing != 0 {
		t.Errorf("changes %+v, burst %+v", size.Changes, size.Burst)
	}
	if size.Weights.Loaded != cfg.Samplers || size.Weights.Orders < cfg.Samplers {
		t.Errorf("weights %+v", size.Weights)
	}
}
