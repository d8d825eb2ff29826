package forward

import (
	"fmt"
	"math"
	"net/http"
	"regexp"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/jayridge/jayridge/request/placement"
)

// Prompt describes the prompt of a model request.
type Prompt struct {
	// Parts lists the parts in prompt order.
	Parts []placement.Part
	// Tokens is the length of the whole prompt in tokens; zero if the caller does not specify it.
	Tokens int
}

// maxParts limits the number of parts that are parsed. Prompts typically have a few.
const maxParts = 32

// SharedParts returns the parts that other requests share: all except the last one.
func (p *Prompt) SharedParts() []placement.Part { return p.Parts[:max(0, len(p.Parts)-1)] }

// Session returns the ID of the last shared part, which the requests of a chat have in common, or zero if no part is shared.
func (p *Prompt) Session() uint64 {
	if shared := p.SharedParts(); len(shared) > 0 {
		return shared[len(shared)-1].ID
	}
	return 0
}

// SharedTokens returns the total length of the shared parts in tokens.
func (p *Prompt) SharedTokens() int { return placement.TotalTokens(p.SharedParts()) }

// PartID returns the hash that identifies a prompt part for a model.
func PartID(model, id string) uint64 { return xxhash.Sum64String(model + "," + id) }

// ParsePrompt parses the description of the prompt. Parsing stops at the first malformed part without an error, since the description only
// determines which upstream is the cheapest.
func (n *HeaderNames) ParsePrompt(h http.Header) Prompt {
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

// maxCheckedParts is the number of parts of a prompt that are checked one by one. Prompts typically have a few.
const maxCheckedParts = 256

// manyPartsID is the ID of all parts beyond maxCheckedParts together, so that none goes unchecked.
const manyPartsID = "..."

// PartIDs holds the hashes that identify the parts of a prompt, regardless of the model.
type PartIDs struct {
	// All are the parts in every spelling that an upstream may accept, the last one included.
	All []uint64
	// Answered are the parts that an answer to the request certainly used: all except the last one, or none if the description of the prompt
	// can be read in several ways.
	Answered []uint64
}

// ParsePartIDs parses the description of the prompt for the detection of parts that crash upstreams. Unlike ParsePrompt, it also takes what
// follows a malformed part, since a caller can add one.
func (n *HeaderNames) ParsePartIDs(h http.Header) PartIDs {
	var ids PartIDs
	values := h.Values(n.PromptParts)
	canonical, many := len(values) == 1, false
	for part := range strings.SplitSeq(strings.Join(values, ","), ",") {
		text := strings.TrimSpace(part)
		id, _, _ := strings.Cut(text, ":")
		id = strings.ToLower(strings.TrimSpace(id))
		canonical = canonical && canonicalPart.MatchString(part)
		if id == "" {
			continue
		}
		if many = len(ids.All) == maxCheckedParts; many {
			ids.All = append(ids.All, xxhash.Sum64String(manyPartsID))
			break
		}
		ids.All = append(ids.All, xxhash.Sum64String(id))
	}
	switch {
	case canonical && many:
		ids.Answered = ids.All
	case canonical:
		ids.Answered = ids.All[:len(ids.All)-1]
	}
	return ids
}

// canonicalPart matches a part in the only spelling that all upstreams read alike.
var canonicalPart = regexp.MustCompile(`^[0-9a-z]+:[0-9]+$`)

// atoiOr parses a non-negative number, or returns fallback if text is not one.
func atoiOr(text string, fallback int) int {
	n, err := strconv.Atoi(strings.TrimSpace(text))
	if err != nil || n < 0 {
		return fallback
	}
	return n
}

// ParseRateLimit parses the rate limit that an upstream names, in requests a second. named is false if the header is missing. A malformed value is an
// error.
func (n *HeaderNames) ParseRateLimit(h http.Header) (perSecond float64, named bool, err error) {
	text := h.Get(n.RateLimit)
	if text == "" {
		return 0, false, nil
	}
	perSecond, err = strconv.ParseFloat(text, 64)
	if err != nil || perSecond < 0 || math.IsInf(perSecond, 0) || math.IsNaN(perSecond) {
		return 0, false, fmt.Errorf("rate limit %q of the upstream is not a number of requests a second", text)
	}
	return perSecond, true, nil
}

// Load is the load that an upstream reports.
type Load struct {
	Running, Waiting, Slots int
}

// ParseLoad parses the load header of a response. It returns false if the header is missing or malformed.
func (n *HeaderNames) ParseLoad(h http.Header) (Load, bool) {
	fields := strings.Split(h.Get(n.Load), ",")
	if len(fields) != 3 {
		return Load{}, false
	}
	l := Load{atoiOr(fields[0], -1), atoiOr(fields[1], -1), atoiOr(fields[2], -1)}
	return l, l.Running >= 0 && l.Waiting >= 0 && l.Slots >= 0
}
