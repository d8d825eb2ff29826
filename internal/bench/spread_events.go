package bench

import "time"

// handle processes one event. Events of a process that is down are ignored, except its start.
func (e *spreadSimulation) handle(event spreadEvent) {
	i, peer := event.process, event.peer
	if event.kind == eventStart {
		e.restart(i)
		return
	}
	if !e.up[i] {
		return
	}
	switch event.kind {
	case eventPeerHasChange:
		e.pullFrom(i, peer)
	case eventPullAnswer:
		e.configs.pull(int(i), int(peer))
		e.recordAdoption(i)
	case eventGossip:
		e.exchangeVersions(i, e.gossipPeer(i))
		e.scheduleAfter(gossipInterval, eventGossip, i, 0)
	case eventRequest:
		e.sendRequest(i)
	case eventWatchAnswer:
		e.configs.accept(int(i))
		e.recordAdoption(i)
	case eventConnect:
		e.connect(i, peer)
	case eventReadPlatform:
		e.readPlatform(i)
	}
}

// pullFrom pulls the configuration of a peer, unless this process has the change or a pull is in progress.
func (e *spreadSimulation) pullFrom(i, peer int32) {
	if e.configs.hasChange(int(i)) || e.now-e.pulledAt[i] < pullTimeout {
		return
	}
	e.pulledAt[i] = e.now
	if !e.up[peer] {
		return
	}
	roundTrip := e.latency(i, peer) + e.latency(peer, i)
	if !e.configs.hasConfig(int(i)) {
		roundTrip += snapshotTime
		e.pulledAt[i] += snapshotTime
	}
	e.scheduleAfter(roundTrip, eventPullAnswer, i, peer)
}

// recordAdoption counts a process that adopted the change and notifies random peers.
func (e *spreadSimulation) recordAdoption(i int32) {
	if e.adopted[i] || !e.configs.hasChange(int(i)) {
		return
	}
	e.adopted[i] = true
	e.pending--
	e.result.allAdopted = e.now
	if !e.restarting[i] {
		e.pendingStable--
		if e.pendingStable == 0 {
			e.result.stableAdopted = e.now
		}
	}
	fanout := entryAdoptFanout
	if !e.isEntry(i) {
		fanout = sidecarAdoptFanout
	}
	for range fanout {
		peer := e.randomPeer(i)
		e.scheduleAfter(e.latency(i, peer), eventPeerHasChange, peer, i)
	}
}

// exchangeVersions lets the one of two processes without the change pull it from the other.
func (e *spreadSimulation) exchangeVersions(i, peer int32) {
	hasChange := e.configs.hasChange(int(i))
	if i == peer || !e.up[peer] || hasChange == e.configs.hasChange(int(peer)) {
		return
	}
	if hasChange {
		e.scheduleAfter(e.latency(i, peer), eventPeerHasChange, peer, i)
		return
	}
	e.scheduleAfter(e.latency(i, peer)+e.latency(peer, i), eventPeerHasChange, i, peer)
}

// gossipPeer returns the peer for a gossip exchange: any entry for an entry, a connected entry for a sidecar.
func (e *spreadSimulation) gossipPeer(i int32) int32 {
	if e.isEntry(i) {
		return e.random.Int32N(int32(e.size.entries))
	}
	return e.connectedEntry(i)
}

func (e *spreadSimulation) connectedEntry(sidecar int32) int32 {
	local, extra := e.entriesOf[e.dataCentreOf[sidecar]], e.extraEntries[sidecar]
	n := e.random.IntN(len(local) + len(extra))
	if n < len(local) {
		return local[n]
	}
	return extra[n-len(local)]
}

// randomPeer returns a random connected peer. It leaves out connections that exist only because of requests, as in a fleet without traffic.
func (e *spreadSimulation) randomPeer(i int32) int32 {
	if !e.isEntry(i) {
		return e.connectedEntry(i)
	}
	local, extra := e.sidecarsOf[e.dataCentreOf[i]], e.extraSidecars[i]
	n := e.random.IntN(e.size.entries + len(local) + len(extra))
	switch {
	case n < e.size.entries:
		return int32(n)
	case n < e.size.entries+len(local):
		return local[n-e.size.entries]
	}
	return extra[n-e.size.entries-len(local)]
}

// timeToNextRequest returns a random time to the next request that carries a version, at the rate that the entries' limit allows.
func (e *spreadSimulation) timeToNextRequest(i int32) time.Duration {
	perSecond := float64(versionsPerSecond)
	if !e.isEntry(i) {
		perSecond /= e.size.sidecarsPerEntry()
	}
	return time.Duration(e.random.ExpFloat64() / perSecond * float64(time.Second))
}

// sendRequest exchanges versions between a process without the change and a random process of the other role. Requests between two
// processes that have the change have no effect, so a process stops drawing requests once it has the change.
func (e *spreadSimulation) sendRequest(i int32) {
	if e.adopted[i] {
		return
	}
	peer := e.random.Int32N(int32(e.size.entries))
	if e.isEntry(i) {
		peer = int32(e.size.entries) + e.random.Int32N(int32(e.size.sidecars))
	}
	e.exchangeVersions(i, peer)
	e.scheduleAfter(e.timeToNextRequest(i), eventRequest, i, 0)
}

// restart starts a process without a configuration. An entry dials its peers; a sidecar is dialed when the first of its entries reads it
// from the instance list. Both try to read from the platform, which is down.
func (e *spreadSimulation) restart(i int32) {
	e.up[i] = true
	e.scheduleAfter(e.randomBelow(gossipInterval), eventGossip, i, 0)
	e.scheduleAfter(e.timeToNextRequest(i), eventRequest, i, 0)
	if e.isEntry(i) {
		e.scheduleAfter(e.randomBelow(gossipInterval), eventConnect, i, e.random.Int32N(int32(e.size.entries)))
		e.scheduleAfter(e.randomBelow(500*time.Millisecond), eventReadPlatform, i, 0)
		return
	}
	for range len(e.entriesOf[e.dataCentreOf[i]]) + extraEntriesPerSidecar {
		e.scheduleAfter(e.randomBelow(maxListDelay)+e.randomBelow(gossipInterval), eventConnect, i, e.connectedEntry(i))
	}
	e.scheduleAfter(3*time.Second+e.randomBelow(500*time.Millisecond), eventReadPlatform, i, 0)
}

// connect exchanges versions between a restarted process and a peer. A process without a configuration pulls from any peer that has one. If
// the peer has none either, it tries another peer after a gossip interval.
func (e *spreadSimulation) connect(i, peer int32) {
	switch {
	case e.configs.hasConfig(int(i)):
		e.exchangeVersions(i, peer)
	case e.up[peer] && e.configs.hasConfig(int(peer)):
		e.pullFrom(i, peer)
	default:
		e.scheduleAfter(gossipInterval, eventConnect, i, e.gossipPeer(i))
	}
}

// readPlatform counts the reads that a process without a configuration tries while the platform is down.
func (e *spreadSimulation) readPlatform(i int32) {
	if e.configs.hasConfig(int(i)) {
		return
	}
	e.result.platformCalls++
	e.scheduleAfter(100*time.Millisecond+e.randomBelow(5*time.Second), eventReadPlatform, i, 0)
}
