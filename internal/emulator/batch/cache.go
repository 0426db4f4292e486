package batch

import (
	"container/list"

	"github.com/cespare/xxhash/v2"
)

// PrefixBlocks returns the hashes of the prompt's full blocks of blockTokens
// tokens. Each hash covers the prompt from its beginning to the block's end, so
// that equal hashes mean equal prefixes.
func PrefixBlocks(prompt string, blockTokens int) []uint64 {
	blockBytes := blockTokens * BytesPerToken
	if blockBytes <= 0 {
		return nil
	}
	blocks := make([]uint64, 0, len(prompt)/blockBytes)
	var digest xxhash.Digest
	digest.Reset()
	for end := blockBytes; end <= len(prompt); end += blockBytes {
		_, _ = digest.WriteString(prompt[end-blockBytes : end])
		blocks = append(blocks, digest.Sum64())
	}
	return blocks
}

// prefixCache is a set of prefix blocks that evicts the least recently used.
type prefixCache struct {
	size  int
	order *list.List // of uint64, most recently used first
	items map[uint64]*list.Element
}

func newPrefixCache(size int) prefixCache {
	return prefixCache{size: size, order: list.New(), items: map[uint64]*list.Element{}}
}

// hits returns the number of leading blocks that are cached.
func (c *prefixCache) hits(blocks []uint64) int {
	for i, block := range blocks {
		if _, cached := c.items[block]; !cached {
			return i
		}
	}
	return len(blocks)
}

// touch marks the block as used if it is cached, and tells whether it is.
func (c *prefixCache) touch(block uint64) bool {
	element, cached := c.items[block]
	if cached {
		c.order.MoveToFront(element)
	}
	return cached
}

// insert caches the block, or marks it as used. It tells whether the block is
// new, and which one had to go for it.
func (c *prefixCache) insert(block uint64) (added bool, evicted uint64, full bool) {
	if c.size <= 0 || c.touch(block) {
		return false, 0, false
	}
	if len(c.items) >= c.size {
		oldest := c.order.Back()
		evicted, full = oldest.Value.(uint64), true
		c.order.Remove(oldest)
		delete(c.items, evicted)
	}
	c.items[block] = c.order.PushFront(block)
	return true, evicted, full
}
