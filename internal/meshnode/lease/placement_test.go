package lease

import (
	"testing"
	"time"
)

// TestNewHolderWaitsBeforeItMovesAShard covers a planned stop: the holder gives
// a shard to another node while the members still show it as alive. The new
// holder must not hand the shard straight back to it.
func TestNewHolderWaitsBeforeItMovesAShard(t *testing.T) {
	shard := Shard{Name: "titles/0"}
	members := []Member{{Name: "a"}, {Name: "b"}}
	preferred := Candidates(shard, members)[0]
	now := time.Unix(0, 0)
	p := newPlacement(time.Minute, time.Second)
	p.shards[shard.Name] = place(now, nil, Candidates(shard, members))
	now = now.Add(time.Hour)
	p.acquired(now, shard.Name)
	if p.takeMove(now.Add(2*time.Second), shard.Name, "other than "+preferred) {
		t.Error("moved within the settle time")
	}
	if !p.takeMove(now.Add(2*time.Minute), shard.Name, "other than "+preferred) {
		t.Error("not moved after the settle time")
	}
}
