package engine

import (
	"encoding/binary"
	"fmt"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sliplift/sliplift/internal/api"
	"github.com/sliplift/sliplift/internal/emulator/batch"
)

// cacheLogSize is the number of cache events that an engine keeps.
const cacheLogSize = 4096

// cacheLog keeps the latest cache events. Each is published after a lag; some
// are lost, chosen by a hash of the engine's name and their sequence number.
type cacheLog struct {
	lag   time.Duration
	loss  float64
	seed  uint64
	last  int64
	items []cacheLogItem
}

type cacheLogItem struct {
	publishedAt time.Time
	event       api.CacheEvent
}

func newCacheLog(config Config) cacheLog {
	return cacheLog{lag: config.CacheEventLag, loss: config.CacheEventLoss, seed: xxhash.Sum64String(config.Name)}
}

func (l *cacheLog) add(now time.Time, event batch.Event) {
	l.last++
	if l.loses(l.last) {
		return
	}
	l.items = append(l.items, cacheLogItem{
		publishedAt: now.Add(l.lag),
		event: api.CacheEvent{
			Sequence: l.last,
			Block:    blockName(event.Block),
			Evicted:  event.Kind == batch.EventEvicted,
		},
	})
	if len(l.items) > 2*cacheLogSize {
		l.items = append([]cacheLogItem(nil), l.items[len(l.items)-cacheLogSize:]...)
	}
}

func (l *cacheLog) loses(sequence int64) bool {
	var key [8]byte
	binary.LittleEndian.PutUint64(key[:], uint64(sequence))
	digest := xxhash.NewWithSeed(l.seed)
	_, _ = digest.Write(key[:])
	return float64(digest.Sum64()) < l.loss*math.MaxUint64
}

// blockName returns the name in cache events of a block of
// batch.PrefixBlocks.
func blockName(block uint64) string { return fmt.Sprintf("%016x", block) }

// cacheEvents returns the published events behind sequence number after.
func (c *core) cacheEvents(now time.Time, after int64) api.CacheEvents {
	c.mu.Lock()
	defer c.mu.Unlock()
	answer := api.CacheEvents{Events: []api.CacheEvent{}, Last: after}
	for _, item := range c.cacheLog.items {
		if item.publishedAt.After(now) {
			break
		}
		if item.event.Sequence > after {
			answer.Events = append(answer.Events, item.event)
			answer.Last = item.event.Sequence
		}
	}
	return answer
}
