package claim

import (
	"encoding/binary"
	"encoding/hex"

	"github.com/cespare/xxhash/v2"
)

// Key is the 128-bit hash of a team and an idempotency key.
type Key [16]byte

// highSeed makes the two halves of a Key independent hashes.
const highSeed = 0x9e3779b97f4a7c15

// KeyOf hashes a team's idempotency key. The team is part of the hash, so that teams cannot see each other's keys.
func KeyOf(team, idempotencyKey string) Key {
	// The length prefix gives ("ab", "c") and ("a", "bc") different hashes.
	text := binary.AppendUvarint(nil, uint64(len(team)))
	text = append(text, team...)
	text = append(text, idempotencyKey...)
	high := xxhash.NewWithSeed(highSeed)
	// A Digest's Write never fails.
	_, _ = high.Write(text)
	var key Key
	binary.BigEndian.PutUint64(key[:8], high.Sum64())
	binary.BigEndian.PutUint64(key[8:], xxhash.Sum64(text))
	return key
}

// Shard returns which of n shards holds the key, counting from zero.
func (k Key) Shard(n int) int {
	return int(binary.BigEndian.Uint64(k[8:]) % uint64(n))
}

// String returns the key in hexadecimal.
func (k Key) String() string { return hex.EncodeToString(k[:]) }
