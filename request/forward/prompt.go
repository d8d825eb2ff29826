package forward

import (
	"net/http"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/jayridge/jayridge/request/placement"
)

// Prompt describes the prompt of a request to a model.
type Prompt struct {
	// Parts are in order.
	Parts []placement.Part
	// Tokens is the length of the whole prompt in tokens; zero if the caller does not say.
	Tokens int
}

// maxParts bounds the parts that are looked at; prompts have a handful.
const maxParts = 32

// Shared returns the parts that the request shares with others: all but the last.
func (p *Prompt) Shared() []placement.Part { return p.Parts[:max(0, len(p.Parts)-1)] }

// Session identifies what the request shares with others of its chat: the last shared part. Zero means nothing.
func (p *Prompt) Session() uint64 {
	if shared := p.Shared(); len(shared) > 0 {
		return shared[len(shared)-1].ID
	}
	return 0
}

// SharedTokens is the number of tokens up to the last shared part.
func (p *Prompt) SharedTokens() int { return placement.Tokens(p.Shared()) }

// PartID returns the hash that stands for a part of a prompt to a model.
func PartID(model, id string) uint64 { return xxhash.Sum64String(model + "," + id) }

// Prompt reads the description of the prompt. What cannot be read is left out: it only decides where the request is cheapest.
func (n *Headers) Prompt(h http.Header) Prompt {
	var p Prompt
	model := h.Get(n.Model)
	tokens := 0
	for part := range strings.SplitSeq(h.Get(n.PromptParts), ",") {
		id, length, found := strings.Cut(strings.TrimSpace(part), ":")
		count, err := strconv.Atoi(length)
		if !found || err != nil || count < 0 || len(p.Parts) == maxParts {
			break
		}
		tokens += count
		p.Parts = append(p.Parts, placement.Part{ID: PartID(model, id), Tokens: count})
	}
	prompt, _, _ := strings.Cut(h.Get(n.TokenCounts), ",")
	p.Tokens = atoiOr(prompt, tokens)
	return p
}

func atoiOr(text string, otherwise int) int {
	n, err := strconv.Atoi(strings.TrimSpace(text))
	if err != nil || n < 0 {
		return otherwise
	}
	return n
}

// Load is what an upstream says of its load.
type Load struct {
	Running, Waiting, Slots int
}

// ReadLoad reads the load from an answer. It returns false if the answer does not have it.
func (n *Headers) ReadLoad(h http.Header) (Load, bool) {
	fields := strings.Split(h.Get(n.Load), ",")
	if len(fields) != 3 {
		return Load{}, false
	}
	l := Load{atoiOr(fields[0], -1), atoiOr(fields[1], -1), atoiOr(fields[2], -1)}
	return l, l.Running >= 0 && l.Waiting >= 0 && l.Slots >= 0
}
