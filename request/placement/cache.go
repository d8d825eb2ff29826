package placement

import (
	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// Cache is what an upstream is believed to hold of prompts, from the requests that were sent to it: the most recently used parts up to
// its memory. It is not safe for concurrent use.
type Cache struct {
	parts    *simplelru.LRU[uint64, int]
	tokens   int
	capacity int
}

// maxCacheParts bounds the parts of one upstream that are remembered.
const maxCacheParts = 2048

// NewCache returns the belief about an upstream that holds nothing and has room for a number of tokens.
func NewCache(capacity int) *Cache {
	c := &Cache{capacity: capacity}
	// The size is positive, which is all that NewLRU checks.
	c.parts, _ = simplelru.NewLRU(maxCacheParts, func(_ uint64, tokens int) { c.tokens -= tokens })
	return c
}

// Part is a part of a prompt: the hash of the prompt up to its end, and that prompt's length in tokens.
type Part struct {
	Prefix uint64
	Tokens int
}

// Chats returns the number of parts that are held. Most are the last shared part of a chat.
func (c *Cache) Chats() int { return c.parts.Len() }

// Used records that the upstream reads a prompt with the given parts, each with those before it. It says whether one of them is new.
func (c *Cache) Used(parts []Part) (added bool) {
	before := 0
	for _, p := range parts {
		if !c.parts.Contains(p.Prefix) {
			c.tokens += p.Tokens - before
			added = true
		}
		c.parts.Add(p.Prefix, p.Tokens-before)
		before = p.Tokens
	}
	for c.tokens > c.capacity && c.parts.Len() > 0 {
		c.parts.RemoveOldest()
	}
	return added
}

// Holds returns the number of a prompt's first tokens that the upstream is believed to hold.
func (c *Cache) Holds(parts []Part) int {
	held := 0
	for _, p := range parts {
		if !c.parts.Contains(p.Prefix) {
			break
		}
		held = p.Tokens
	}
	return held
}
