package rules

const (
	teamKeyword = "team"
	usageTeam   = "team NAME weight=N limit=REQUESTS_PER_SECOND"
)

var teamOptions = []string{"weight", "limit"}

// parseTeam parses a team rule. It does not check for another rule of the same team.
func (p *parser) parseTeam() (*team, bool) {
	args, ok := p.args(1, usageTeam)
	if !ok {
		return nil, false
	}
	nameOK := p.checkName(args[0], "team")
	values, ok := p.parseOptions(1, teamOptions, usageTeam)
	weight, weightOK := p.parseCount(values[0], DefaultWeight)
	limit, limitOK := p.parseRate(values[1])
	if !ok || !nameOK || !weightOK || !limitOK {
		return nil, false
	}
	c := p.line.comment
	return &team{name: args[0].text, requester: c.Requester, reason: c.Reason, weight: int32(weight), limit: limit}, true
}

// addTeam adds the team of the current line to the set. It reports a fault and returns false if the team already has a rule.
func (p *parser) addTeam(t *team) bool {
	first := p.set.index.find(t.name)
	if first != nil {
		p.faultDuplicate(p.line.fields[1], "team", p.set.lineOf(first))
		return false
	}
	p.set.index.insert(t)
	return true
}
