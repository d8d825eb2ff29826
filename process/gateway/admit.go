package gateway

import (
	"errors"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/jayridge/jayridge/process/bootclock"
	"github.com/jayridge/jayridge/process/settings"
	"github.com/jayridge/jayridge/request/forward"
	"github.com/jayridge/jayridge/request/result"
	"github.com/jayridge/jayridge/version/routing"
)

const (
	// keyAgeShare is the part of the time in which a revoked key may still be served for which the gateway trusts its configuration.
	// The rest covers requests that wait before they are sent.
	keyAgeShare = 0.9
	// denyAge is the age of the configuration up to which a request that it does not allow is denied. With an older one the request
	// may belong to a newer version, and the caller is asked to come again.
	denyAge = 1500 * time.Millisecond
	// defaultDeadline applies to requests that state none on routes without a timeout.
	defaultDeadline = 30 * time.Second
	// defaultBodyBytes bounds a body if the configuration does not.
	defaultBodyBytes = 4 << 20
)

// configAge is the time since the configuration was last known to be current, by a clock that counts suspended time.
func (g *Gateway) configAge() time.Duration {
	return bootclock.Now().Sub(time.Unix(0, g.confirmed.Load()))
}

// keysCurrent says whether keys can be served: none can have been revoked for too long without the gateway's knowledge.
func (g *Gateway) keysCurrent() bool {
	fleet := g.fleet.Load()
	return !fleet.StrictRevoke || g.configAge() < settings.Duration(keyAgeShare*fleet.RevokeMS)
}

// call is one request of a caller.
type call struct {
	g       *Gateway
	writer  http.ResponseWriter
	request *http.Request
	started time.Time
	// deadline is when the caller or the route stops waiting.
	deadline time.Time
	view     *view
	route    *routing.Route
	service  string
	team     string
	keyed    bool
	id       string
	body     []byte
	prompt   forward.Prompt
	header   http.Header
	progress progress
	// rejectedFor is for how much longer requests like this one are rejected.
	rejectedFor time.Duration
}

// admit reads and checks a request. It returns result.OK if the request may be sent.
func (c *call) admit() result.Code {
	c.view = c.g.view.Load()
	if c.view == nil {
		return result.NoConfiguration
	}
	h := c.request.Header
	c.id = h.Get(c.g.headers.RequestID)
	c.route = c.view.table.Route(c.request.Host, pathOf(c.request.RequestURI))
	if c.route == nil {
		return c.deny(result.NoRoute)
	}
	if code := c.identify(); code != result.OK {
		return code
	}
	c.setDeadline()
	if code := c.readBody(); code != result.OK {
		return code
	}
	if c.rejectedFor = c.g.crashes.rejects(bootclock.Now(), c); c.rejectedFor > 0 {
		return result.Quarantined
	}
	c.service = c.route.Pick(point(c.id))
	c.prompt = c.g.headers.Prompt(h)
	c.header = c.g.headers.ToUpstream(h, c.team)
	return result.OK
}

// deny returns the code if the configuration is current enough to deny a request.
func (c *call) deny(code result.Code) result.Code {
	if c.g.configAge() > denyAge {
		return result.StaleConfig
	}
	return code
}

// identify finds the caller's team.
func (c *call) identify() result.Code {
	if !c.view.table.NeedsKeys() || c.route.Public {
		return result.OK
	}
	team := c.view.table.Team(c.g.headers.Key(c.request.Header))
	if team == nil {
		return c.deny(result.UnknownKey)
	}
	c.team = team.Name
	c.keyed = true
	if !c.g.keysCurrent() {
		return result.StaleConfig
	}
	return result.OK
}

func (c *call) setDeadline() {
	wait, stated := forward.Milliseconds(c.request.Header, c.g.headers.Deadline)
	if !stated {
		wait = defaultDeadline
	}
	if c.route.Timeout > 0 {
		wait = min(wait, c.route.Timeout)
	}
	c.deadline = c.started.Add(wait)
}

// readBody reads the whole body, so that the request can be sent more than once.
func (c *call) readBody() result.Code {
	limit := c.view.table.Limits().MaxBodyBytes
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	if c.request.ContentLength == 0 {
		return result.OK
	}
	control := http.NewResponseController(c.writer)
	_ = control.SetReadDeadline(c.deadline) // supported by the server's own writer
	body := http.MaxBytesReader(c.writer, c.request.Body, int64(limit))
	var err error
	if n := c.request.ContentLength; n > 0 && n <= int64(limit) {
		c.body = make([]byte, n)
		_, err = io.ReadFull(body, c.body)
	} else {
		c.body, err = io.ReadAll(body)
	}
	_ = control.SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		return result.OK
	case errors.As(err, &tooLarge):
		return result.BodyTooLarge
	case c.request.Context().Err() != nil:
		return result.CanceledBeforeRun
	default:
		return result.BadRequest
	}
}

// mayRunIn says whether a data centre may run the request.
func (c *call) mayRunIn(dataCentre string) bool {
	if len(c.route.Regions) == 0 {
		return true
	}
	return slices.Contains(c.route.Regions, c.g.regionOf(dataCentre))
}

func (g *Gateway) regionOf(dataCentre string) string {
	for _, d := range g.settings.DataCentres {
		if d.Name == dataCentre {
			return d.Region
		}
	}
	return ""
}

// pathOf returns the path of a request target as it was sent.
func pathOf(target string) string {
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
