package rollout

// Missing returns the number of requests to the new version that a step below share 1 still lacks in the group that lacks most,
// the number it has, and the group's name. Zero means that the step has enough evidence.
//
// Each data centre's requests count by what they add at its own rate of bad outcomes, because a sick data centre tells little.
func (t *Test) Missing() (missing, have float64, name string) {
	name = allRoutes
	for _, g := range t.required() {
		seen := float64(g.seen().New.Total())
		if lack := t.lack(g, seen); lack > missing {
			missing, have, name = lack, seen, g.name
		}
	}
	return missing, have, name
}

// required returns the groups that need enough evidence before a step ends.
func (t *Test) required() []*group { return append([]*group{t.all}, t.guards...) }

func (t *Test) lack(g *group, seen float64) float64 {
	share := t.share()
	progress := t.progress(g, share)
	if progress >= 1 {
		return 0
	}
	if progress > 0 {
		return max(seen/progress-seen, 1)
	}
	need := 0.0
	for kind := range kinds {
		need = max(need, t.needed(g, kind, tally{}, share))
	}
	return need
}

// progress returns how much of the evidence that a step at a share needs there is, 1 for enough. The counts of the current step are
// scaled if its share is another. Requests without an equal share of requests to the old version beside them count less.
func (t *Test) progress(g *group, share float64) float64 {
	least := 1e9
	for kind := range kinds {
		sum := 0.0
		for _, c := range g.step {
			fresh, old := c.New.of(kind), c.Old.of(kind)
			if fresh.n == 0 || old.n == 0 {
				continue
			}
			scale := share / t.share()
			actual := min(fresh.n/(fresh.n+old.n)*scale, 1-1e-6)
			sum += fresh.n * scale / t.needed(g, kind, old, actual)
		}
		least = min(least, sum)
	}
	return least
}

func (t *Test) needed(g *group, kind int, old tally, share float64) float64 {
	differences := [kinds]float64{t.config.FailedDifference, t.config.SlowDifference}
	return t.config.required(old, share, differences[kind], g.matched[kind].logThreshold())
}

// Expected returns the number of windows until there is enough evidence for the current and all later planned steps below 1, if
// requests keep coming as in the past number of windows of the current step.
func (t *Test) Expected(windows float64) float64 {
	longest := 0.0
	for _, g := range t.required() {
		sum := 0.0
		for step := int(t.step); step < len(t.steps)-1; step++ {
			sum += windows / max(t.progress(g, t.steps[step]), 1e-9)
		}
		spent := min(windows, windows/max(t.progress(g, t.share()), 1e-9))
		longest = max(longest, sum-spent)
	}
	return longest
}
