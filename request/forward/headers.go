// Package forward translates headers between callers and upstreams: it derives the headers of forwarded requests and responses, and parses
// the descriptions of prompts and loads. It works on headers and statuses only and performs no I/O.
package forward

import (
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"
)

// HeaderNames holds the names of the headers that callers, entries and upstreams exchange.
type HeaderNames struct {
	// RequestID identifies one attempt of a caller, in requests and responses.
	RequestID string
	// Deadline is the time that the caller waits for the response, in whole milliseconds.
	Deadline string
	// Team tells the upstream to which team the caller's key belongs.
	Team string
	// Priority tells the upstream how urgent the request is, a number from 0, the most urgent, to 9. It is sent only if the requests of the service
	// have different priorities.
	Priority string
	// Upstream names the only upstream that may run the request.
	Upstream string
	// Signature marks a response that was produced by an upstream.
	Signature string
	// NotRun marks the response to a request that did not run.
	NotRun string
	// LastEventID is the ID of the event after which a stream continues.
	LastEventID string
	// PromptParts lists the parts of a prompt as ID:TOKENS, separated by commas; the last belongs to the request or its session.
	PromptParts string
	// Model names the model that the prompt is for.
	Model string
	// TokenCounts holds the length of the prompt and the maximum length of the output in tokens, separated by a comma.
	TokenCounts string
	// FetchFrom is the address of the upstream from which the cached part of a prompt is copied.
	FetchFrom string
	// Load is an upstream's load as running requests, waiting requests, slots and optionally the present slowdown in percent, separated by commas.
	Load string
	// RateLimit is the number of requests a second that an upstream takes from all entries together, a decimal number. Without the header there is no
	// limit.
	RateLimit string
	// UpstreamID identifies the upstream that answers a health check.
	UpstreamID string
	// ColdFor is the remaining time for which an upstream is cold, in milliseconds.
	ColdFor string
	// Authorization carries the caller's key, preceded by KeyScheme.
	Authorization, KeyScheme string
	// Reserved lists headers that only the fleet sets; they are removed from callers' requests.
	Reserved []string
}

// hopByHopHeaders apply to a single connection (RFC 9110, section 7.6.1).
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding",
	"Upgrade", "Expect", "Content-Length",
}

// dropHopByHopHeaders removes the hop-by-hop headers, including those that the Connection header lists. keep reports whether a header
// stays even if Connection lists it.
func dropHopByHopHeaders(h http.Header, keep func(name string) bool) {
	for _, list := range h["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			name = textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name))
			if !keep(name) {
				delete(h, name)
			}
		}
	}
	for _, name := range hopByHopHeaders {
		delete(h, name)
	}
}

// isEndToEnd reports whether a header of the caller belongs to the request and not to a connection.
func (n *HeaderNames) isEndToEnd(name string) bool {
	switch name {
	case n.RequestID, n.Deadline, n.PromptParts, n.TokenCounts, n.LastEventID, n.Model, "Content-Type":
		return true
	default:
		return false
	}
}

// UpstreamHeaders returns the headers to send to an upstream, except those that differ between attempts.
func (n *HeaderNames) UpstreamHeaders(caller http.Header, team string) http.Header {
	h := caller.Clone()
	dropHopByHopHeaders(h, n.isEndToEnd)
	for _, name := range n.Reserved {
		delete(h, name)
	}
	if team != "" {
		h.Set(n.Team, team)
	}
	if _, found := h["User-Agent"]; !found {
		h["User-Agent"] = []string{""} // prevents net/http from adding its default
	}
	return h
}

// CallerHeaders returns the headers to send to the caller.
func (n *HeaderNames) CallerHeaders(upstream http.Header) http.Header {
	h := upstream.Clone()
	dropHopByHopHeaders(h, func(name string) bool { return name == n.RequestID || name == n.Signature || name == "Content-Type" })
	return h
}

// ParseMilliseconds parses a header that holds a number of milliseconds. It returns false if the header is missing, not a number or out of
// range.
func ParseMilliseconds(h http.Header, name string) (time.Duration, bool) {
	value := h.Get(name)
	if value == "" {
		return 0, false
	}
	ms, err := strconv.ParseFloat(value, 64)
	if err != nil || !(ms >= 0) || ms > 1e12 {
		return 0, false
	}
	return time.Duration(ms * float64(time.Millisecond)), true
}

// CallerKey returns the caller's key, or "" if the request has none.
func (n *HeaderNames) CallerKey(h http.Header) string {
	scheme, key, found := strings.Cut(h.Get(n.Authorization), " ")
	if !found || !strings.EqualFold(scheme, n.KeyScheme) {
		return ""
	}
	return strings.TrimSpace(key)
}
