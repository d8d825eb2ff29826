package bench

import "time"

// handle does what a process does at an event.
func (e *epidemic) handle(event spreadEvent) {
	i, peer := event.process, event.peer
	if event.kind == start {
		e.restart(i)
		return
	}
	if !e.up[i] {
		return
	}
	switch event.kind {
	case hear:
		e.hear(i, peer)
	case answer:
		e.states.pull(int(i), int(peer))
		e.check(i)
	case gossipTurn:
		e.exchange(i, e.gossipPeer(i))
		e.after(gossipInterval, gossipTurn, i, 0)
	case requestTurn:
		e.request(i)
	case watchTurn:
		e.states.accept(int(i))
		e.check(i)
	case connect:
		e.connect(i, peer)
	case readPlatform:
		e.readPlatform(i)
	}
}

// hear pulls from a peer that has the change, unless a pull is under way.
func (e *epidemic) hear(i, peer int32) {
	if e.states.has(int(i)) || e.now-e.pulledAt[i] < pullTimeout {
		return
	}
	e.pulledAt[i] = e.now
	if !e.up[peer] {
		return
	}
	trip := e.latency(i, peer) + e.latency(peer, i)
	if !e.states.knows(int(i)) {
		trip += snapshotTime
		e.pulledAt[i] += snapshotTime
	}
	e.after(trip, answer, i, peer)
}

// check tells others of a change that a process just adopted.
func (e *epidemic) check(i int32) {
	if e.done[i] || !e.states.has(int(i)) {
		return
	}
	e.done[i] = true
	e.missing--
	e.result.took = e.now
	if !e.restarts[i] {
		e.stable--
		if e.stable == 0 {
			e.result.settled = e.now
		}
	}
	fanout := adoptFanout
	if !e.isEntry(i) {
		fanout = sidecarFanout
	}
	for range fanout {
		peer := e.anyPeer(i)
		e.after(e.latency(i, peer), hear, peer, i)
	}
}

// exchange shows two processes each other's version.
func (e *epidemic) exchange(i, peer int32) {
	mine := e.states.has(int(i))
	if i == peer || !e.up[peer] || mine == e.states.has(int(peer)) {
		return
	}
	if mine {
		e.after(e.latency(i, peer), hear, peer, i)
		return
	}
	e.after(e.latency(i, peer)+e.latency(peer, i), hear, i, peer)
}

// gossipPeer is whom a process gossips with: an entry with any entry, a sidecar with one that is connected to it.
func (e *epidemic) gossipPeer(i int32) int32 {
	if e.isEntry(i) {
		return e.random.Int32N(int32(e.size.entries))
	}
	return e.connectedEntry(i)
}

func (e *epidemic) connectedEntry(sidecar int32) int32 {
	local, further := e.entriesOf[e.site[sidecar]], e.keepers[sidecar]
	n := e.random.IntN(len(local) + len(further))
	if n < len(local) {
		return local[n]
	}
	return further[n-len(local)]
}

// anyPeer is a random connected peer. Connections that only traffic made are left out, as in a quiet fleet.
func (e *epidemic) anyPeer(i int32) int32 {
	if !e.isEntry(i) {
		return e.connectedEntry(i)
	}
	local, kept := e.sidecarsOf[e.site[i]], e.kept[i]
	n := e.random.IntN(e.size.entries + len(local) + len(kept))
	switch {
	case n < e.size.entries:
		return int32(n)
	case n < e.size.entries+len(local):
		return local[n-e.size.entries]
	}
	return kept[n-e.size.entries-len(local)]
}

// nextRequest is the time to the next request that carries a version, as the limit of the entries allows.
func (e *epidemic) nextRequest(i int32) time.Duration {
	perSecond := float64(versionsPerSecond)
	if !e.isEntry(i) {
		perSecond /= e.size.sidecarsPerEntry()
	}
	return time.Duration(e.random.ExpFloat64() / perSecond * float64(time.Second))
}

// request lets a process without the change meet a random process of the other role. Requests between two that have it change nothing.
func (e *epidemic) request(i int32) {
	if e.done[i] {
		return
	}
	peer := e.random.Int32N(int32(e.size.entries))
	if e.isEntry(i) {
		peer = int32(e.size.entries) + e.random.Int32N(int32(e.size.sidecars))
	}
	e.exchange(i, peer)
	e.after(e.nextRequest(i), requestTurn, i, 0)
}

// restart brings a process up without a configuration. An entry connects by itself; a sidecar is connected when the first of its entries
// sees it in the instance list. Both read the platform, which is down.
func (e *epidemic) restart(i int32) {
	e.up[i] = true
	e.after(e.within(gossipInterval), gossipTurn, i, 0)
	e.after(e.nextRequest(i), requestTurn, i, 0)
	if e.isEntry(i) {
		e.after(e.within(gossipInterval), connect, i, e.random.Int32N(int32(e.size.entries)))
		e.after(e.within(500*time.Millisecond), readPlatform, i, 0)
		return
	}
	for range len(e.entriesOf[e.site[i]]) + entriesPerSidecar {
		e.after(e.within(listInterval)+e.within(gossipInterval), connect, i, e.connectedEntry(i))
	}
	e.after(3*time.Second+e.within(500*time.Millisecond), readPlatform, i, 0)
}

// connect shows a restarted process the version of a peer. A process without any configuration pulls from any peer that has one.
func (e *epidemic) connect(i, peer int32) {
	switch {
	case e.states.knows(int(i)):
		e.exchange(i, peer)
	case e.up[peer] && e.states.knows(int(peer)):
		e.hear(i, peer)
	default:
		e.after(gossipInterval, connect, i, e.gossipPeer(i))
	}
}

// readPlatform counts the reads of a process without a configuration while the platform is down.
func (e *epidemic) readPlatform(i int32) {
	if e.states.knows(int(i)) {
		return
	}
	e.result.calls++
	e.after(100*time.Millisecond+e.within(5*time.Second), readPlatform, i, 0)
}
