package gateway

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/jayridge/jayridge/process/bufferbudget"
	"github.com/jayridge/jayridge/process/settings"
	"github.com/jayridge/jayridge/request/buffer"
	"github.com/jayridge/jayridge/request/forward"
	"github.com/jayridge/jayridge/request/result"
	"github.com/jayridge/jayridge/version/routing"
)

const (
	// maxKeyAgeShare is the fraction of the revocation time limit for which the gateway accepts keys without a newer confirmation of its
	// configuration. The margin covers requests that wait before they are sent.
	maxKeyAgeShare = 0.9
	// maxDenyAge is the maximum age of a configuration that is used to deny requests. If it is older, a newer version may allow the
	// request, and the response tells the caller to retry.
	maxDenyAge = 1500 * time.Millisecond
	// defaultDeadline applies to requests without a deadline on routes without a timeout.
	defaultDeadline = 30 * time.Second
	// defaultBodyBytes is the maximum size of a request body if the configuration sets none.
	defaultBodyBytes = 4 << 20
)

// configAge returns the time since the configuration in force was last known to be current, by a clock that counts suspended time.
func (g *Gateway) configAge() time.Duration { return g.view.Load().age() }

// acceptsKeys reports whether a configuration of the given age is recent enough to accept keys: any revocation that the gateway does not know of yet
// is still within the time limit.
func (g *Gateway) acceptsKeys(configAge time.Duration) bool {
	fleet := g.fleet.Load()
	return !fleet.StrictRevoke || configAge < settings.FractionalMilliseconds(maxKeyAgeShare*fleet.RevokeMS)
}

// call is a caller's request and its state.
type call struct {
	g       *Gateway
	writer  http.ResponseWriter
	control *http.ResponseController
	conn    *callerConn
	request *http.Request
	started time.Time
	// deadline is the earlier of the caller's deadline and the route's timeout.
	deadline time.Time
	view     *view
	// configAge is the age of the configuration at the latest decision that depended on it.
	configAge time.Duration
	route     *routing.Route
	service   string
	team      string
	keyed     bool
	id        string
	body      buffer.Buffer
	// bodyRead means that the body was read to its end.
	bodyRead bool
	// ahead is the number of requests in a row that the caller has sent before it had the answer to the one before.
	ahead      int
	bodyMemory *bufferbudget.Reservation
	prompt     forward.Prompt
	partIDs    forward.PartIDs
	header     http.Header
	progress   progress
	usage      usageCount
	// priority is the effective priority of the request, 0 is the most urgent. statesPriority means that the upstream is told.
	priority       int
	statesPriority bool
	// quarantinedFor is the remaining time of the quarantine of the request's fingerprint or of one of its prompt parts, quarantinedPart the
	// hash of that part.
	quarantinedFor  time.Duration
	quarantinedPart uint64
}

// admit reads and validates a request. It returns result.OK if the request may be sent.
func (c *call) admit() result.Code {
	c.view = c.currentView()
	c.configAge = c.view.age()
	if c.view == nil {
		return result.NoConfiguration
	}
	h := c.request.Header
	c.id = h.Get(c.g.headers.RequestID)
	c.route = c.view.table.Route(c.request.Host, targetPath(c.request.RequestURI))
	if c.route == nil {
		return c.denyCode(result.NoRoute)
	}
	if code := c.authenticate(); code != result.OK {
		return code
	}
	c.setDeadline()
	if c.mayBeCut() {
		return result.Leaving
	}
	if code := c.readBody(); code != result.OK {
		return code
	}
	if c.mayBeCut() {
		return result.Leaving // the gateway began to stop while the body arrived
	}
	c.service = c.route.PickService(hashFraction(c.id))
	c.prompt = c.g.headers.ParsePrompt(h)
	c.partIDs = c.g.headers.ParsePartIDs(h)
	if c.isQuarantined() {
		return result.Quarantined
	}
	c.header = c.g.headers.UpstreamHeaders(h, c.team)
	c.setPriority()
	return result.OK
}

// denyCode returns the given code if configAge permits to deny a request, else result.StaleConfig.
func (c *call) denyCode(code result.Code) result.Code {
	if c.configAge > maxDenyAge {
		return result.StaleConfig
	}
	return code
}

// authenticate maps the request's key to a team.
func (c *call) authenticate() result.Code {
	if !c.view.table.NeedsKeys() || c.route.Public {
		return result.OK
	}
	team := c.view.table.TeamByKey(c.g.headers.CallerKey(c.request.Header))
	if team == nil {
		return c.denyCode(result.UnknownKey)
	}
	c.team = team.Name
	c.keyed = true
	if !c.g.acceptsKeys(c.configAge) {
		return result.StaleConfig
	}
	return result.OK
}

// mayBeCut reports whether a request may take longer than the gateway still runs and is to be refused for that. Its caller can send it to another
// gateway now, but loses its answer later. As long as callers get new connections to this gateway, that applies only to requests that must not be
// repeated: most others end long before their deadlines, and refusing all of them would take away a whole gateway's service for seconds.
func (c *call) mayBeCut() bool {
	abortAt := c.g.abortAt.Load()
	return abortAt != nil && c.deadline.After(*abortAt) && (c.route.Kind == routing.NonIdempotent || c.g.draining.Load())
}

func (c *call) setDeadline() {
	wait, stated := forward.ParseMilliseconds(c.request.Header, c.g.headers.Deadline)
	if !stated {
		wait = defaultDeadline
	}
	if c.route.Timeout > 0 {
		wait = min(wait, c.route.Timeout)
	}
	c.deadline = c.started.Add(wait)
	c.conn.writes.deadline = c.deadline
}

// readBody buffers the complete body, so that the request can be sent more than once.
func (c *call) readBody() result.Code {
	limit := c.view.table.Limits().MaxBodyBytes
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	if c.request.ContentLength == 0 {
		return result.OK
	}
	ctx, cancel := context.WithCancelCause(c.request.Context())
	defer cancel(nil)
	control := c.control
	c.bodyMemory = c.g.buffers.Open(bufferbudget.Receiving, teamOwner(c.team), func() {
		cancel(errEvicted)
		_ = control.SetReadDeadline(time.Unix(1, 0)) // always supported by the net/http server's writer
	})
	body := &callerBody{
		body: http.MaxBytesReader(c.writer, c.request.Body, int64(limit)), control: control, deadline: c.deadline, ctx: ctx,
		patience: c.conn.writes.patience,
	}
	err := c.body.Fill(body, int(c.request.ContentLength), limit, func(bytes int) error {
		err := c.bodyMemory.Reserve(ctx, bytes)
		if err == nil {
			c.conn.bodyBytes.Add(int64(bytes))
		}
		return err
	})
	c.request.Trailer = nil // trailers are not passed on
	if err == nil {
		err = c.bodyMemory.Keep()
	}
	_ = control.SetReadDeadline(time.Time{}) // always supported by the net/http server's writer
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		c.bodyRead = true
		return result.OK
	case errors.As(err, &tooLarge), errors.Is(err, buffer.ErrTooLong):
		return result.BodyTooLarge
	case errors.Is(err, bufferbudget.ErrNoRoom):
		return result.NoMemory
	case errors.Is(err, errCallerStalled):
		return result.CallerStalled
	case errors.Is(err, context.DeadlineExceeded):
		return result.DeadlineBeforeRun
	case c.conn.claim.Load() == connEvicted:
		return result.NoMemory
	case c.request.Context().Err() != nil:
		return result.CanceledBeforeRun
	default:
		return result.BadRequest
	}
}

// releaseMemory releases the memory that the request holds at its end.
func (c *call) releaseMemory() {
	c.bodyMemory.Release()
	if c.progress.failure != nil {
		c.progress.failure.memory.Release()
	}
}

// allowedIn reports whether the route's regions allow the request to run in a data centre.
func (c *call) allowedIn(dataCentre string) bool { return c.g.isAllowedIn(c.route, dataCentre) }

func (g *Gateway) isAllowedIn(route *routing.Route, dataCentre string) bool {
	return len(route.Regions) == 0 || slices.Contains(route.Regions, g.regionOf(dataCentre))
}

func (g *Gateway) regionOf(dataCentre string) string {
	for _, d := range g.settings.DataCentres {
		if d.Name == dataCentre {
			return d.Region
		}
	}
	return ""
}

// targetPath returns the path of a request target as it was sent, without decoding. The target may be in absolute form.
func targetPath(target string) string {
	path, _, _ := strings.Cut(target, "?")
	if scheme := strings.Index(path, "://"); scheme > 0 && !strings.HasPrefix(path, "/") {
		rest := path[scheme+3:]
		if slash := strings.IndexByte(rest, '/'); slash >= 0 {
			return rest[slash:]
		}
		return "/"
	}
	return path
}
