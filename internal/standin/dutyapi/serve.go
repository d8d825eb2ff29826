package dutyapi

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"

	"github.com/jayridge/jayridge/process/duty"
)

// Names are the names of the HTTP protocol: paths, header fields, and fields of the JSON bodies.
type Names struct {
	UsagePath, ScalePath, Holder, Token          string
	Window, Counts, Service, DataCentre, Desired string
}

// Handler returns an HTTP handler. A call that it cannot read gets status 400.
func (s *Server) Handler(n Names) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		call, err := n.decode(r)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		status, answered, hang := s.Do(r.Context(), call)
		switch {
		case answered:
			w.WriteHeader(status)
		case hang:
			<-r.Context().Done()
		default:
			panic(http.ErrAbortHandler) // closes the connection
		}
	})
}

func (n Names) decode(r *http.Request) (Call, error) {
	c := Call{Holder: r.Header.Get(n.Holder)}
	var err error
	if c.Token, err = strconv.ParseUint(r.Header.Get(n.Token), 10, 64); err != nil || c.Holder == "" || r.Method != http.MethodPost {
		return c, fmt.Errorf("%s with holder %q and token %q", r.Method, c.Holder, r.Header.Get(n.Token))
	}
	var body map[string]json.RawMessage
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		return c, err
	}
	var fields map[string]any
	switch r.URL.Path {
	case n.UsagePath:
		c.Duty, fields = duty.Usage, map[string]any{n.Window: &c.Window, n.Counts: &c.Counts}
	case n.ScalePath:
		c.Duty, fields = duty.Scale, map[string]any{n.Service: &c.Service, n.DataCentre: &c.DataCentre, n.Desired: &c.Desired}
	default:
		return c, fmt.Errorf("unknown path %s", r.URL.Path)
	}
	for name, target := range fields {
		if err := json.Unmarshal(body[name], target); err != nil {
			return c, fmt.Errorf("field %s: %w", name, err)
		}
	}
	return c, nil
}

// API calls the server without a network.
func (s *Server) API() duty.API { return direct{s} }

type direct struct{ s *Server }

func (d direct) ReportUsage(ctx context.Context, by duty.Holder, window int64, counts map[string]uint64) error {
	return d.call(ctx, Call{Duty: duty.Usage, Holder: by.Instance, Token: by.Token, Window: window, Counts: counts})
}

func (d direct) OrderScale(ctx context.Context, by duty.Holder, service, dataCentre string, desired int) error {
	return d.call(ctx, Call{Duty: duty.Scale, Holder: by.Instance, Token: by.Token, Service: service, DataCentre: dataCentre, Desired: desired})
}

func (d direct) call(ctx context.Context, c Call) error {
	if ctx.Err() != nil {
		return errors.Join(duty.ErrNotSent, ctx.Err())
	}
	status, answered, hang := d.s.Do(ctx, c)
	switch {
	case !answered && hang:
		<-ctx.Done()
		return errors.Join(duty.ErrOutcomeUnknown, ctx.Err())
	case !answered:
		return duty.ErrOutcomeUnknown
	case status == http.StatusConflict:
		return duty.ErrFenced
	case status == http.StatusTooManyRequests:
		return duty.ErrThrottled
	}
	return nil
}
