package node

import (
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

// Limits of the versions in Open frames to peers that may be behind. At the design scale a change comes every 6.6 s and a request to
// the same sidecar every 47 s, so that almost every Open would carry a version; gossip and the pushes on adoption need no help then.
const (
	versionsPerSecond = 12
	versionBurst      = 64
)

// VersionSampler decides which frames of requests carry the configuration version. It is safe for concurrent use.
type VersionSampler struct{ limiter *rate.Limiter }

// NewVersionSampler returns a VersionSampler with its whole burst.
func NewVersionSampler() *VersionSampler {
	return &VersionSampler{rate.NewLimiter(versionsPerSecond, versionBurst)}
}

// InOpen returns the version that an Open carries, zero for none. mine is the version in force here and peer the one that the peer last
// showed: a peer that has the version is not sent it. A request that must not meet an older rule always carries the version, others
// within a limit.
func (s *VersionSampler) InOpen(now time.Time, mine, peer uint64, strict bool) uint64 {
	if peer < mine && (strict || s.limiter.AllowN(now, 1)) {
		return mine
	}
	return 0
}

// InEnd returns the version that the End of a request carries, zero for none. open is that of the request's Open. A refusal always
// carries it, because a newer rule may be the reason for it.
func InEnd(mine, open uint64, refused bool) uint64 {
	if mine == open || open == 0 && !refused {
		return 0
	}
	return mine
}

// PeerVersion returns the configuration version that a connected instance last showed, zero if it showed none.
func (n *Node) PeerVersion(id string) uint64 {
	if version, ok := n.heard.Load(id); ok {
		return version.(*atomic.Uint64).Load()
	}
	return 0
}
