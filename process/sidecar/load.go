package sidecar

import (
	"context"
	"time"

	"github.com/jayridge/jayridge/connection/wire"
	"github.com/jayridge/jayridge/process/event"
	"github.com/jayridge/jayridge/process/services"
	"github.com/jayridge/jayridge/process/settings"
)

// pollLoad passes the upstream's load reports to the admission controller at a fixed interval until ctx is done.
func (s *Sidecar) pollLoad(ctx context.Context) {
	interval := settings.Milliseconds(s.opts.Settings.Upstream.LoadIntervalMS)
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	failing := false
	for {
		failing = s.pollLoadOnce(ctx, failing)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// loadTimeout is the maximum duration of one read of the upstream's load report.
const loadTimeout = 2 * time.Second

// pollLoadOnce reads the load report once and reports whether that failed. It logs only the first of consecutive failures.
func (s *Sidecar) pollLoadOnce(ctx context.Context, failing bool) bool {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	report, err := s.fetchLoad(ctx)
	if err != nil {
		metrics.Add("load_reports_failed", 1)
		if !failing {
			event.Log(event.LoadReportFailed, "upstream", s.opts.Settings.Upstream.URL, "error", err)
		}
		return true
	}
	s.detectRestart(report)
	s.mu.Lock()
	wasCold := s.admission.Load().Cold
	s.admission.Report(time.Now(), report)
	isCold := s.admission.Load().Cold
	s.mu.Unlock()
	s.logColdStart(wasCold, isCold)
	return false
}

func (s *Sidecar) fetchLoad(ctx context.Context) (services.EngineLoad, error) {
	if s.opts.Engine != nil {
		return s.opts.Engine.Load(ctx)
	}
	return s.opts.Plain.Load(ctx)
}

// logColdStart logs the beginning and the end of a cold start.
func (s *Sidecar) logColdStart(wasCold, isCold bool) {
	switch {
	case !wasCold && isCold:
		event.Log(event.UpstreamCold, "instance", s.opts.Settings.Instance)
	case wasCold && !isCold:
		event.Log(event.UpstreamWarm, "instance", s.opts.Settings.Instance)
	}
}

// nextLoadReport returns the load report to attach to the next response, or nil if none is due.
func (s *Sidecar) nextLoadReport() *wire.LoadReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	report := s.admission.Load()
	if !s.loadSampler.Allow(time.Now(), report.WorkUnits) {
		return nil
	}
	return &report
}
