package placement

import (
	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// Cache estimates which prompt parts an upstream has cached, from the requests that were sent to it: the most recently used parts, up to
// the upstream's capacity in tokens. It is not safe for concurrent use.
type Cache struct {
	parts    *simplelru.LRU[uint64, int]
	tokens   int
	capacity int
}

// maxCacheParts limits the number of parts tracked per upstream.
const maxCacheParts = 2048

// NewCache returns the estimate for an upstream with an empty cache and the given capacity in tokens.
func NewCache(capacity int) *Cache {
	c := &Cache{capacity: capacity}
	// NewLRU returns an error only if the size is not positive.
	c.parts, _ = simplelru.NewLRU(maxCacheParts, func(_ uint64, tokens int) { c.tokens -= tokens })
	return c
}

// Part identifies a part of a prompt by the hash of its model and id, and holds its length in tokens.
type Part struct {
	ID     uint64
	Tokens int
}

// TotalTokens returns the total length of parts.
func TotalTokens(parts []Part) int {
	sum := 0
	for _, p := range parts {
		sum += p.Tokens
	}
	return sum
}

// Len returns the number of cached parts. It approximates the number of chats, since most parts are the last shared part of a chat.
func (c *Cache) Len() int { return c.parts.Len() }

// Parts returns all cached parts, the least recently used first.
func (c *Cache) Parts() []Part {
	parts := make([]Part, 0, c.parts.Len())
	for _, id := range c.parts.Keys() {
		tokens, _ := c.parts.Peek(id) // Keys lists only keys that are present
		parts = append(parts, Part{id, tokens})
	}
	return parts
}

// Record records a request with the given parts and evicts the least recently used parts beyond the capacity. It returns the parts that were
// not cached before.
func (c *Cache) Record(parts []Part) (added []Part) {
	for _, p := range parts {
		if !c.parts.Contains(p.ID) {
			c.tokens += p.Tokens
			added = append(added, p)
			c.parts.Add(p.ID, p.Tokens)
			continue
		}
		c.parts.Get(p.ID) // marks the part as most recently used
	}
	for c.tokens > c.capacity && c.parts.Len() > 0 {
		c.parts.RemoveOldest()
	}
	return added
}

// CachedTokens returns the estimated length of a prompt's cached prefix, in tokens. A part counts only if all parts before it are cached.
func (c *Cache) CachedTokens(parts []Part) int {
	cached := 0
	for _, p := range parts {
		if !c.parts.Contains(p.ID) {
			break
		}
		cached += p.Tokens
	}
	return cached
}
