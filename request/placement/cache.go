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

// Part is a part of a prompt: the hash of its model and id, and its length in tokens.
type Part struct {
	ID     uint64
	Tokens int
}

// Tokens is the length of parts together.
func Tokens(parts []Part) int {
	sum := 0
	for _, p := range parts {
		sum += p.Tokens
	}
	return sum
}

// Chats returns the number of parts that are held. Most are the last shared part of a chat.
func (c *Cache) Chats() int { return c.parts.Len() }

// Parts returns all parts that are held, the least recently used first.
func (c *Cache) Parts() []Part {
	parts := make([]Part, 0, c.parts.Len())
	for _, id := range c.parts.Keys() {
		tokens, _ := c.parts.Peek(id) // a key that Keys lists is there
		parts = append(parts, Part{id, tokens})
	}
	return parts
}

// Used records that the upstream reads parts. It returns those that were not held.
func (c *Cache) Used(parts []Part) (added []Part) {
	for _, p := range parts {
		if !c.parts.Contains(p.ID) {
			c.tokens += p.Tokens
			added = append(added, p)
			c.parts.Add(p.ID, p.Tokens)
			continue
		}
		c.parts.Get(p.ID) // makes it the most recently used
	}
	for c.tokens > c.capacity && c.parts.Len() > 0 {
		c.parts.RemoveOldest()
	}
	return added
}

// Holds returns the number of a prompt's first tokens that the upstream is believed to hold. A part counts only with those before it.
func (c *Cache) Holds(parts []Part) int {
	held := 0
	for _, p := range parts {
		if !c.parts.Contains(p.ID) {
			break
		}
		held += p.Tokens
	}
	return held
}
