package rules

const (
	teamRule  = "team"
	usageTeam = "team NAME weight=N limit=REQUESTS_PER_SECOND"
)

var teamOptions = []string{"weight", "limit"}

// team parses a team rule. It does not look for another rule of the same team.
func (p *parser) team() (*team, bool) {
	words, ok := p.words(1, usageTeam)
	if !ok {
		return nil, false
	}
	named := p.name(words[0], "team")
	values, ok := p.options(1, teamOptions, usageTeam)
	weight, weightOK := p.count(values[0], DefaultWeight)
	limit, limitOK := p.rate(values[1])
	if !ok || !named || !weightOK || !limitOK {
		return nil, false
	}
	c := p.line.comment
	return &team{name: words[0].text, who: c.Who, why: c.Why, weight: int32(weight), limit: limit}, true
}

// addTeam adds the team of the current line to the set.
func (p *parser) addTeam(t *team) bool {
	first := p.set.index.find(t.name)
	if first != nil {
		p.duplicate(p.line.fields[1], "team", p.set.lineOf(first))
		return false
	}
	p.set.index.insert(t)
	return true
}
