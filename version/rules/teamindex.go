package rules

import "github.com/cespare/xxhash/v2"

const (
	// teamsPerShard is the target for the mean number of teams in a shard of a new index. A lookup compares all names in a shard.
	teamsPerShard = 8
	// maxTeamsPerShard is the maximum mean number of teams in a shard. Above it, the whole text is parsed, which creates a larger
	// index.
	maxTeamsPerShard = 4 * teamsPerShard
)

// teamIndex is a hash table of teams by name. Its shards are immutable and shared by the sets of successive versions, so that a
// change copies only the shards of the teams that it adds or removes.
type teamIndex struct {
	// shards has a length that is a power of two.
	shards [][]*team
	count  int
}

// newTeamIndex returns an empty index sized for a number of teams.
func newTeamIndex(teams int) teamIndex {
	n := 1
	for n*teamsPerShard < teams {
		n *= 2
	}
	return teamIndex{shards: make([][]*team, n)}
}

// shard returns the index of the shard for a name.
func (x *teamIndex) shard(name string) int {
	return int(xxhash.Sum64String(name) & uint64(len(x.shards)-1))
}

// find returns the team with a name, or nil.
func (x *teamIndex) find(name string) *team {
	for _, t := range x.shards[x.shard(name)] {
		if t.name == name {
			return t
		}
	}
	return nil
}

// insert adds a team whose name is not in the index. It modifies a shard in place, so no other index may share the shards.
func (x *teamIndex) insert(t *team) {
	i := x.shard(t.name)
	x.shards[i] = append(x.shards[i], t)
	x.count++
}

// update returns a copy of the index without the removed teams and with the added ones. It returns false if two teams would have
// the same name or the shards would be too full.
func (x *teamIndex) update(removed, added []*team) (teamIndex, bool) {
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
		// The limited capacity makes append copy the shard, because other sets share it.
		shared := next.shards[i]
		next.shards[i] = append(shared[:len(shared):len(shared)], t)
	}
	return next, true
}

// remove replaces the shard of a team by a copy without the team.
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
