package entry

import (
	"context"
	crand "crypto/rand"
	"encoding/hex"
	"errors"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/jayridge/jayridge/connection/wire"
	"github.com/jayridge/jayridge/process/event"
	"github.com/jayridge/jayridge/process/node"
	"github.com/jayridge/jayridge/process/settings"
	"github.com/jayridge/jayridge/request/claim"
	"github.com/jayridge/jayridge/request/result"
	"github.com/jayridge/jayridge/version/rules"
)

// HTTP headers of requests and responses; docs/callers.md documents them.
const (
	HeaderTeam           = "Jayridge-Team"
	HeaderChat           = "Jayridge-Chat"
	HeaderDeadline       = "Jayridge-Deadline-Ms"
	HeaderPriority       = "Jayridge-Priority"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderRequestID      = "Jayridge-Request-Id"
	HeaderResult         = "Jayridge-Result"
	HeaderOutcome        = "Jayridge-Outcome"
	HeaderUpstream       = "Jayridge-Upstream"
)

// maxHeaderValueBytes is the maximum length of the team, chat, idempotency key and content type headers.
const maxHeaderValueBytes = 256

// defaultRetryAfter is the Retry-After value used if no sidecar specified one.
const defaultRetryAfter = time.Second

// serveHTTP handles one caller request.
func (e *Entry) serveHTTP(w http.ResponseWriter, r *http.Request) {
	var id wire.RequestID
	// crypto/rand.Read never fails.
	_, _ = crand.Read(id[:])
	w.Header().Set(HeaderRequestID, hex.EncodeToString(id[:]))
	snapshot := e.node.Snapshot()
	x, refusal := e.newExchange(id, snapshot, w, r)
	if refusal != nil {
		e.refuse(w, *refusal)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), x.deadline)
	defer cancel()
	outcome := x.run(ctx)
	metrics.Add("result_"+outcome.code.String(), 1)
	if outcome.code.Outcome() == result.Unknown {
		event.Log(event.RequestFailed, "request", hex.EncodeToString(id[:]), "service", x.route.Service, "route", x.route.Path, "code", int(outcome.code), "reason", outcome.reason)
	}
	x.response.finish(outcome)
}

// refusal is an error response that the entry produces without contacting an upstream.
type refusal struct {
	code       result.Code
	reason     string
	retryAfter time.Duration
}

func (e *Entry) refuse(w http.ResponseWriter, r refusal) {
	metrics.Add("result_"+r.code.String(), 1)
	writeFailure(w, outcome{code: r.code, reason: r.reason, retryAfter: r.retryAfter})
}

// newExchange validates a request and applies the quarantine and the team's rate limit.
func (e *Entry) newExchange(id wire.RequestID, snapshot *node.Snapshot, w http.ResponseWriter, r *http.Request) (*exchange, *refusal) {
	if snapshot.Config == nil {
		return nil, &refusal{code: result.NoConfiguration}
	}
	route, ok := snapshot.Config.Rules.Route(r.URL.Path)
	if !ok {
		return nil, &refusal{code: result.NoRoute}
	}
	service, ok := snapshot.Config.Rules.Service(route.Service)
	if !ok {
		return nil, &refusal{code: result.NoRoute}
	}
	x := &exchange{e: e, id: id, snapshot: snapshot, route: route, service: service, method: r.Method, path: r.URL.RequestURI()}
	if fault := x.parseHeaders(r.Header); fault != "" {
		return nil, &refusal{code: result.BadRequest, reason: fault}
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, int64(e.opts.Settings.MaxBodyBytes)))
	if err != nil {
		return nil, &refusal{code: result.BadRequest, reason: bodyErrorText(err)}
	}
	x.body = body
	x.estimateWork()
	if e.isQuarantined(route.Service, route.Path, body) {
		return nil, &refusal{code: result.Quarantined}
	}
	team, _ := snapshot.Config.Rules.Team(x.team)
	if wait := e.teams.reserve(time.Now(), team, e.routing.Load().entries); wait > 0 {
		return nil, &refusal{code: result.TeamLimit, retryAfter: wait}
	}
	x.response = newResponseWriter(w, r, service.Kind == rules.Model, e.opts.Settings.MaxAnswerBytes)
	return x, nil
}

// bodyErrorText describes an error from reading the request body.
func bodyErrorText(err error) string {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return "the body exceeds " + strconv.FormatInt(tooLarge.Limit, 10) + " bytes"
	}
	return "the body could not be read"
}

// parseHeaders reads the request headers. It returns an error message, or an empty string if the headers are valid.
func (x *exchange) parseHeaders(h http.Header) string {
	for _, name := range []string{HeaderTeam, HeaderChat, HeaderIdempotencyKey, "Content-Type"} {
		if len(h.Get(name)) > maxHeaderValueBytes {
			return name + " exceeds " + strconv.Itoa(maxHeaderValueBytes) + " bytes"
		}
	}
	x.team = h.Get(HeaderTeam)
	if x.team == "" {
		return HeaderTeam + " is required"
	}
	if x.service.Kind != rules.Model {
		x.contentType = h.Get("Content-Type")
	}
	x.idempotencyKey = h.Get(HeaderIdempotencyKey)
	x.chat = x.affinityHash(h.Get(HeaderChat))
	fault := x.parseDeadline(h.Get(HeaderDeadline))
	if fault != "" {
		return fault
	}
	return x.parsePriority(h.Get(HeaderPriority))
}

// affinityHash returns the hash used to select an upstream. Claimed calls are routed by the shard of their idempotency key, so that a
// single sidecar appends to each shard. Other calls are routed by their chat, or randomly if they have none.
func (x *exchange) affinityHash(chat string) uint64 {
	switch {
	case x.idempotencyKey != "" && !x.route.Idempotent:
		shards := claim.DefaultConfig(x.route.Service).Shards
		shard := claim.KeyOf(x.team, x.idempotencyKey).Shard(shards)
		return xxhash.Sum64String(x.route.Service + " shard " + strconv.Itoa(shard))
	case chat != "":
		x.hasChat = true
		return xxhash.Sum64String(x.team + "\x00" + chat)
	default:
		return rand.Uint64()
	}
}

// parseDeadline applies the deadline header, which can shorten the route's deadline but not extend it.
func (x *exchange) parseDeadline(text string) string {
	x.deadline = x.route.Deadline
	if text == "" {
		return ""
	}
	ms, err := strconv.Atoi(text)
	if err != nil || ms <= 0 || ms > math.MaxInt32 {
		return HeaderDeadline + " must be a positive number of milliseconds"
	}
	x.deadline = min(x.deadline, settings.Milliseconds(ms))
	return ""
}

// parsePriority applies the priority header, which can lower the route's priority but not raise it.
func (x *exchange) parsePriority(text string) string {
	x.priority = x.route.Priority
	switch strings.ToLower(text) {
	case "", "high":
	case "normal":
		x.priority = min(x.priority, rules.Normal)
	case "low":
		x.priority = rules.Low
	default:
		return HeaderPriority + " must be high, normal or low"
	}
	return ""
}
