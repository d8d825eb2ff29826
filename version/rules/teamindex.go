package rules

import "github.com/cespare/xxhash/v2"

const (
	// teamsPerShard is the mean number of teams in a shard of a new index; a lookup compares that many names.
	teamsPerShard = 8
	// maxTeamsPerShard is the mean beyond which the whole text is parsed, which makes an index of the right size.
	maxTeamsPerShard = 4 * teamsPerShard
)

// teamIndex finds teams by name. Its shards are immutable and shared by the sets of successive versions, so that a change
// copies only the shards of the names that it touches.
type teamIndex struct {
	// shards has a power of two of entries.
	shards [][]*team
	count  int
}

// newTeamIndex returns an empty index with the right number of shards for a number of teams.
func newTeamIndex(teams int) teamIndex {
	n := 1
	for n*teamsPerShard < teams {
		n *= 2
	}
	return teamIndex{shards: make([][]*team, n)}
}

func (x *teamIndex) shard(name string) int {
	return int(xxhash.Sum64String(name) & uint64(len(x.shards)-1))
}

func (x *teamIndex) find(name string) *team {
	for _, t := range x.shards[x.shard(name)] {
		if t.name == name {
			return t
		}
	}
	return nil
}

// insert adds a team whose name is not in the index. The caller owns the index and all of its shards.
func (x *teamIndex) insert(t *team) {
	i := x.shard(t.name)
	x.shards[i] = append(x.shards[i], t)
	x.count++
}

// with returns a copy of the index without the removed teams and with the added ones, or false if two teams then have the same
// name or the shards are too full.
func (x *teamIndex) with(removed, added []*team) (teamIndex, bool) {
	next := teamIndex{shards: append([][]*team(nil), x.shards...), count: x.count + len(added) - len(removed)}
	if next.count > maxTeamsPerShard*len(next.shards) {
		return teamIndex{}, false
	}
	for _, t := range removed {
		next.remove(t)
	}
	for _, t := range added {
		if next.find(t.name) != nil {
			return teamIndex{}, false
		}
		i := next.shard(t.name)
		// The limited capacity makes append copy the shard, which other sets share.
		shared := next.shards[i]
		next.shards[i] = append(shared[:len(shared):len(shared)], t)
	}
	return next, true
}

// remove replaces the shard of a team by one without it.
func (x *teamIndex) remove(t *team) {
	i := x.shard(t.name)
	kept := make([]*team, 0, len(x.shards[i]))
	for _, other := range x.shards[i] {
		if other != t {
			kept = append(kept, other)
		}
	}
	x.shards[i] = kept
}
