package rollout

// MissingRequests returns the number of requests to the new version that a step below share 1 still needs in the route group that
// needs the most, the number that this group has received, and the name of the group. Zero means that the step has enough
// evidence.
//
// The requests of a data centre are weighted by the evidence that they provide at the data centre's rate of bad outcomes:
// requests in a degraded data centre provide little.
func (t *SequentialTest) MissingRequests() (missing, received float64, name string) {
	name = allRoutesName
	for _, g := range t.requiredGroups() {
		groupReceived := float64(g.stepTotals().New.Total())
		if groupMissing := t.missingRequests(g, groupReceived); groupMissing > missing {
			missing, received, name = groupMissing, groupReceived, g.name
		}
	}
	return missing, received, name
}

// requiredGroups returns the route groups that need enough evidence before a step ends.
func (t *SequentialTest) requiredGroups() []*routeGroup {
	return append([]*routeGroup{t.allRoutes}, t.guards...)
}

// missingRequests returns the number of requests that a route group still needs. It extrapolates from the progress so far.
func (t *SequentialTest) missingRequests(g *routeGroup, received float64) float64 {
	share := t.share()
	progress := t.progress(g, share)
	if progress >= 1 {
		return 0
	}
	if progress > 0 {
		return max(received/progress-received, 1)
	}
	required := 0.0
	for kind := range numOutcomeKinds {
		required = max(required, t.requiredRequests(g, kind, binomialCount{}, share))
	}
	return required
}

// progress returns the received evidence divided by the evidence that a step at the given share needs; 1 or more is enough. If
// the current step has another share, its counts are scaled to the given one. Requests to the new version count less if there are
// fewer concurrent requests to the old version than the share implies.
func (t *SequentialTest) progress(g *routeGroup, share float64) float64 {
	least := 1e9
	for kind := range numOutcomeKinds {
		sum := 0.0
		for _, c := range g.stepCells {
			newCount, oldCount := c.New.countFor(kind), c.Old.countFor(kind)
			if newCount.n == 0 || oldCount.n == 0 {
				continue
			}
			scale := share / t.share()
			actual := min(newCount.n/(newCount.n+oldCount.n)*scale, 1-1e-6)
			sum += newCount.n * scale / t.requiredRequests(g, kind, oldCount, actual)
		}
		least = min(least, sum)
	}
	return least
}

// requiredRequests returns the number of requests to the new version that a route group needs for one kind of bad outcome.
func (t *SequentialTest) requiredRequests(g *routeGroup, kind int, oldCount binomialCount, share float64) float64 {
	differences := [numOutcomeKinds]float64{t.config.FailedDifference, t.config.SlowDifference}
	return t.config.requiredRequests(oldCount, share, differences[kind], g.matched[kind].logThreshold())
}

// ExpectedWindows returns the number of windows until the current and all later planned steps below share 1 have enough evidence,
// if requests continue at the rate of the current step. The current step has lasted the given number of windows.
func (t *SequentialTest) ExpectedWindows(windows float64) float64 {
	longest := 0.0
	for _, g := range t.requiredGroups() {
		sum := 0.0
		for step := int(t.step); step < len(t.steps)-1; step++ {
			sum += windows / max(t.progress(g, t.steps[step]), 1e-9)
		}
		spent := min(windows, windows/max(t.progress(g, t.share()), 1e-9))
		longest = max(longest, sum-spent)
	}
	return longest
}
