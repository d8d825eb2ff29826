package admission

import (
	"time"

	"github.com/jayridge/jayridge/process/services"
)

const (
	// baselineWeight is the weight of a new sample in the baseline.
	baselineWeight = 0.1
	// baselineMinSamples is the number of samples that the baseline needs before it is used.
	baselineMinSamples = 16
)

// coldStart limits the concurrent requests of a cold engine (slow start). It starts cold, because the state of the engine is
// unknown until the first report.
type coldStart struct {
	cold bool
	// successes is the number of successful requests of this epoch, by which the limit is raised.
	successes int
	// epoch is the number of resets. Only requests admitted in the current epoch count: earlier ones reflect a different state
	// of the engine, and one cause must reset the limit only once.
	epoch uint32

	reported       bool
	reportedCold   bool
	startID        string
	cachedPrefixes int

	// baseline is the smoothed slowness of a warm engine, where slowness is the time to first byte as a multiple of the normal
	// time.
	baseline float64
	samples  int
	jumps    int
	// failures is the number of consecutive requests that failed at a warm engine.
	failures int
}

// reset marks the engine as cold and sets the initial limit.
func (c *coldStart) reset() {
	c.cold = true
	c.successes = 0
	c.jumps = 0
	c.failures = 0
	c.epoch++
}

// report detects a cold engine from its load report.
func (c *coldStart) report(load services.EngineLoad, cfg *Config) {
	switch {
	case !c.reported:
		// Cached prefixes show that the engine was warm before this sidecar started.
		c.cold = c.cold && (load.Cold || load.CachedPrefixes == 0)
	case c.restarted(load), load.Cold && !c.reportedCold, c.lostCache(load, cfg):
		c.reset()
	}
	c.reported, c.reportedCold, c.cachedPrefixes = true, load.Cold, load.CachedPrefixes
	if load.StartID != "" {
		c.startID = load.StartID
	}
}

func (c *coldStart) restarted(load services.EngineLoad) bool {
	return load.StartID != "" && c.startID != "" && load.StartID != c.startID
}

func (c *coldStart) lostCache(load services.EngineLoad, cfg *Config) bool {
	return c.cachedPrefixes >= cfg.CacheMinPrefixes && float64(load.CachedPrefixes) < cfg.CacheLossShare*float64(c.cachedPrefixes)
}

// limited reports whether the cold-start limit applies. A service without a cold-start rule has none.
func (c *coldStart) limited(limits *Limits) bool { return c.cold && limits.ColdInitial > 0 }

// limit returns the maximum number of concurrent requests of a cold engine.
func (c *coldStart) limit(limits *Limits) int {
	return min(limits.ColdInitial+c.successes, max(limits.ColdLimit, limits.ColdInitial))
}

// warmUp ends the cold start once the limit has reached ColdLimit and the engine does not report itself as cold. It must not be
// called before the rules, which set ColdLimit, are known.
func (c *coldStart) warmUp(limits *Limits) {
	if c.cold && !c.reportedCold && c.limit(limits) >= limits.ColdLimit {
		c.cold = false
	}
}

// done records the outcome of a request.
func (c *coldStart) done(epoch uint32, completion Completion, limits *Limits, cfg *Config) {
	if epoch != c.epoch || completion.Canceled {
		return
	}
	switch {
	case !completion.OK:
		c.failed(cfg)
	case !c.cold:
		c.failures = 0
	default:
		if c.limit(limits) < limits.ColdLimit {
			c.successes++
		}
		c.warmUp(limits)
	}
}

// failed records a request that failed at the engine. A cold engine is reset immediately.
func (c *coldStart) failed(cfg *Config) {
	c.failures++
	if c.cold || c.failures >= cfg.FailureCount {
		c.reset()
	}
}

// firstByte evaluates a time to first byte. work is the admitted work when the request was admitted, including the request.
func (c *coldStart) firstByte(epoch uint32, took time.Duration, work uint64, cfg *Config) {
	if epoch != c.epoch {
		return
	}
	normal := float64(cfg.FirstByteBase) + float64(work)*float64(cfg.FirstBytePerUnit)
	slowness := float64(took) / normal
	if c.cold {
		if slowness > 1 {
			c.reset()
		}
		return
	}
	if c.isJump(slowness, cfg) {
		c.jumps++
		if c.jumps >= cfg.JumpCount {
			c.reset()
		}
		return
	}
	c.jumps = 0
	c.updateBaseline(slowness)
}

func (c *coldStart) isJump(slowness float64, cfg *Config) bool {
	return cfg.JumpFactor > 0 && c.samples >= baselineMinSamples && slowness > 1 && slowness > cfg.JumpFactor*c.baseline
}

func (c *coldStart) updateBaseline(slowness float64) {
	if c.samples == 0 {
		c.baseline = slowness
	}
	c.samples++
	c.baseline += baselineWeight * (slowness - c.baseline)
}
