// Package forward turns a caller's request into what an upstream receives, and an upstream's answer into what the caller receives.
// It works on headers and statuses only and does no I/O.
package forward

import (
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"
)

// Headers are the names of the headers that carry meaning between callers, entries and upstreams.
type Headers struct {
	// RequestID identifies one attempt of a caller, in both directions.
	RequestID string
	// Deadline is the time that the caller waits, in whole milliseconds.
	Deadline string
	// Team tells the upstream whose key the caller has.
	Team string
	// Upstream names the only upstream that may run the request.
	Upstream string
	// Signature marks an answer that an upstream made.
	Signature string
	// NotRun marks an answer whose request did not run.
	NotRun string
	// LastEventID is the event after which a stream is to continue.
	LastEventID string
	// PromptParts lists the parts of a prompt as ID:TOKENS, separated by commas; the last belongs to the request or its session.
	PromptParts string
	// Model names the model that is to run the prompt.
	Model string
	// TokenCounts are the prompt's tokens and the most output tokens, separated by a comma.
	TokenCounts string
	// FetchFrom is the address of the upstream from which a prompt's cached part is to be copied.
	FetchFrom string
	// Load is an upstream's load: running requests, waiting requests and slots, separated by commas.
	Load string
	// UpstreamID names the upstream that answers a health check.
	UpstreamID string
	// ColdFor is how much longer an upstream is cold, in milliseconds.
	ColdFor string
	// Authorization carries the caller's key after KeyScheme.
	Authorization, KeyScheme string
	// Reserved headers are set by the fleet only; those of callers are dropped.
	Reserved []string
}

// connectionHeaders concern one connection only (RFC 9110, section 7.6.1).
var connectionHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding",
	"Upgrade", "Expect", "Content-Length",
}

// dropConnectionHeaders removes the headers that concern one connection, those that Connection names included. keep names headers
// that a Connection header cannot remove.
func dropConnectionHeaders(h http.Header, keep func(name string) bool) {
	for _, list := range h["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			name = textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name))
			if !keep(name) {
				delete(h, name)
			}
		}
	}
	for _, name := range connectionHeaders {
		delete(h, name)
	}
}

// carried says whether a header of the caller belongs to the request and not to a connection.
func (n *Headers) carried(name string) bool {
	switch name {
	case n.RequestID, n.Deadline, n.PromptParts, n.TokenCounts, n.LastEventID, n.Model, "Content-Type":
		return true
	default:
		return false
	}
}

// ToUpstream returns the headers that an upstream receives, without those that differ between attempts.
func (n *Headers) ToUpstream(caller http.Header, team string) http.Header {
	h := caller.Clone()
	dropConnectionHeaders(h, n.carried)
	for _, name := range n.Reserved {
		delete(h, name)
	}
	if team != "" {
		h.Set(n.Team, team)
	}
	if _, found := h["User-Agent"]; !found {
		h["User-Agent"] = []string{""} // keeps net/http from adding its own
	}
	return h
}

// ToCaller returns the headers that the caller receives.
func (n *Headers) ToCaller(upstream http.Header) http.Header {
	h := upstream.Clone()
	dropConnectionHeaders(h, func(name string) bool { return name == n.RequestID || name == n.Signature || name == "Content-Type" })
	return h
}

// Milliseconds parses a header that holds a number of milliseconds. It returns false if the header is missing or not a number.
func Milliseconds(h http.Header, name string) (time.Duration, bool) {
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

// Key returns the caller's key, or "" if there is none.
func (n *Headers) Key(h http.Header) string {
	scheme, key, found := strings.Cut(h.Get(n.Authorization), " ")
	if !found || !strings.EqualFold(scheme, n.KeyScheme) {
		return ""
	}
	return strings.TrimSpace(key)
}
