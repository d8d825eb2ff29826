package node

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// An Open to a peer that is behind must include the version if the request must not run under an older rule. Other versions must stay within
// their rate limit. An End must include the version if it differs from that in the Open.
func TestVersionSampler(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	s := NewVersionSampler()
	must.Eq(t, 0, s.VersionForOpen(now, 7, 7, true), must.Sprint("the peer is up to date"))
	must.Eq(t, 0, s.VersionForOpen(now, 7, 8, true), must.Sprint("the peer has a newer version"))
	sent := 0
	for range 1000 {
		must.Eq(t, 7, s.VersionForOpen(now, 7, 6, true))
		if s.VersionForOpen(now, 7, 6, false) == 7 {
			sent++
		}
	}
	must.Eq(t, versionBurst, sent)
	must.Eq(t, 7, s.VersionForOpen(now.Add(time.Second), 7, 0, false))
	for _, c := range [][3]uint64{{7, 7, 0}, {7, 0, 0}, {7, 6, 7}, {6, 7, 6}} {
		must.Eq(t, c[2], VersionForEnd(c[0], c[1], false))
	}
	must.Eq(t, 7, VersionForEnd(7, 0, true), must.Sprint("a newer rule may be the reason for a refusal"))
}
