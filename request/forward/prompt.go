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
	// Running and Waiting are numbers of requests, Slots the number of requests that run at once.
	Running, Waiting, Slots int
	// Slowdown is how long work takes on the upstream at this moment in percent of what it usually takes, 100 meaning as usual. Zero means that the
	// upstream did not state it.
	Slowdown int
}

// LoadStatus tells how much of a load header is usable.
type LoadStatus int

const (
	// LoadMissing means that the response has no load header.
	LoadMissing LoadStatus = iota
	// LoadValid means that all figures are usable.
	LoadValid
	// LoadPartial means that the first three figures are usable and what follows them is malformed and ignored.
	LoadPartial
	// LoadMalformed means that nothing is usable.
	LoadMalformed
)

const (
	// maxLoadFigure is the highest number of requests or slots that is accepted. Upstreams run some hundred at once.
	maxLoadFigure = 1_000_000
	// maxSlowdown is the highest slowdown that is accepted, in percent.
	maxSlowdown = 10_000
)

// ParseLoad parses the load header of a response: three figures, or four with the slowdown. The load is zero unless the first three are usable.
func (n *HeaderNames) ParseLoad(h http.Header) (Load, LoadStatus) {
	if len(h.Values(n.Load)) == 0 {
		return Load{}, LoadMissing
	}
	// The last field holds all that follows the fourth figure, so that a long header costs no more than a short one.
	fields := strings.SplitN(h.Get(n.Load), ",", 5)
	if len(fields) < 3 {
		return Load{}, LoadMalformed
	}
	l := Load{Running: loadFigure(fields[0]), Waiting: loadFigure(fields[1]), Slots: loadFigure(fields[2])}
	if l.Running < 0 || l.Waiting < 0 || l.Slots < 0 {
		return Load{}, LoadMalformed
	}
	if len(fields) == 3 {
		return l, LoadValid
	}
	slowdown := atoiOr(fields[3], 0)
	if len(fields) > 4 || slowdown < 1 || slowdown > maxSlowdown {
		return l, LoadPartial
	}
	l.Slowdown = slowdown
	return l, LoadValid
}

// loadFigure parses a number of requests or slots. It returns -1 if it is malformed or out of bounds.
func loadFigure(text string) int {
	if n := atoiOr(text, -1); n <= maxLoadFigure {
		return n
	}
	return -1
}
