package node

import (
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

// Rate limit of the versions in Open frames to peers that may be behind. At the design scale (docs/CAPACITY.md) there is a change every
// 6.6 s and a request to the same sidecar every 47 s, so that without a limit almost every Open would include a version. Gossip and the
// announcements on adoption suffice then.
const (
	versionsPerSecond = 12
	versionBurst      = 64
)

// VersionSampler decides which request frames include the configuration version. It is safe for concurrent use.
type VersionSampler struct{ limiter *rate.Limiter }

// NewVersionSampler returns a VersionSampler whose full burst is available.
func NewVersionSampler() *VersionSampler {
	return &VersionSampler{rate.NewLimiter(versionsPerSecond, versionBurst)}
}

// VersionForOpen returns the version to include in an Open, zero for none. mine is the adopted version of this process, peer the one
// that the peer last reported. An Open to a peer that is up to date includes no version. Otherwise it always includes the version if
// strict is set, for requests that must not run under an older rule, and within the rate limit if not.
func (s *VersionSampler) VersionForOpen(now time.Time, mine, peer uint64, strict bool) uint64 {
	if peer < mine && (strict || s.limiter.AllowN(now, 1)) {
		return mine
	}
	return 0
}

// VersionForEnd returns the version to include in the End of a request, zero for none. open is the version in the request's Open. The
// End of a refused request includes the version even if the Open had none, because a newer rule may be the reason for the refusal.
func VersionForEnd(mine, open uint64, refused bool) uint64 {
	if mine == open || open == 0 && !refused {
		return 0
	}
	return mine
}

// PeerVersion returns the configuration version that a connected instance last reported, zero if none is known.
func (n *Node) PeerVersion(id string) uint64 {
	if version, ok := n.peerVersions.Load(id); ok {
		return version.(*atomic.Uint64).Load()
	}
	return 0
}
