package rules

const usageTeam = "team NAME weight=N limit=REQUESTS_PER_SECOND"

var teamOptions = []string{"weight", "limit"}

func (p *parser) team() {
	words, ok := p.words(1, usageTeam)
	if !ok {
		return
	}
	named := p.name(words[0], "team")
	values, ok := p.options(1, teamOptions, usageTeam)
	weight, weightOK := p.count(values[0], DefaultWeight)
	limit, limitOK := p.rate(values[1])
	if !ok || !named || !weightOK || !limitOK {
		return
	}
	team := Team{Name: words[0].text, Weight: weight, Limit: limit, Origin: p.line.origin()}
	if first, found := p.set.teamIndex[team.Name]; found {
		p.duplicate(words[0], "team", p.set.teams[first].Line)
		return
	}
	p.set.teamIndex[team.Name] = int32(len(p.set.teams))
	p.set.teams = append(p.set.teams, team)
}
