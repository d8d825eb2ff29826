package sidecar

import (
	"context"
	"time"

	"github.com/jayridge/jayridge/connection/wire"
	"github.com/jayridge/jayridge/process/event"
	"github.com/jayridge/jayridge/process/services"
	"github.com/jayridge/jayridge/process/settings"
)

// reportLoad hands the upstream's load reports to the admission controller.
func (s *Sidecar) reportLoad(ctx context.Context) {
	interval := settings.Milliseconds(s.opts.Settings.Upstream.LoadIntervalMS)
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	failing := false
	for {
		failing = s.readLoad(ctx, failing)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// loadTimeout bounds one read of the upstream's load report.
const loadTimeout = 2 * time.Second

// readLoad reads the load report once and returns whether that failed. It logs the first failure of a row.
func (s *Sidecar) readLoad(ctx context.Context, failing bool) bool {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	report, err := s.upstreamLoad(ctx)
	if err != nil {
		metrics.Add("load_reports_failed", 1)
		if !failing {
			event.Log(event.LoadReportFailed, "upstream", s.opts.Settings.Upstream.URL, "error", err)
		}
		return true
	}
	s.restarted(report)
	s.mu.Lock()
	was := s.admission.Load().Cold
	s.admission.Report(time.Now(), report)
	is := s.admission.Load().Cold
	s.mu.Unlock()
	s.logTemperature(was, is)
	return false
}

func (s *Sidecar) upstreamLoad(ctx context.Context) (services.EngineLoad, error) {
	if s.opts.Engine != nil {
		return s.opts.Engine.Load(ctx)
	}
	return s.opts.Plain.Load(ctx)
}

func (s *Sidecar) logTemperature(was, is bool) {
	switch {
	case !was && is:
		event.Log(event.UpstreamCold, "instance", s.opts.Settings.Instance)
	case was && !is:
		event.Log(event.UpstreamWarm, "instance", s.opts.Settings.Instance)
	}
}

// report returns the load report that the next answer carries, or nil if it carries none.
func (s *Sidecar) report() *wire.LoadReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	report := s.admission.Load()
	if !s.reports.Allow(time.Now(), report.WorkUnits) {
		return nil
	}
	return &report
}
