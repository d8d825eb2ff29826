package admission

import (
	"time"

	"github.com/jayridge/jayridge/process/services"
)

const (
	// usualWeight is the weight of a new sample in the usual slowness.
	usualWeight = 0.1
	// usualMinSamples is the number of samples from which on the usual slowness is trusted.
	usualMinSamples = 16
)

// coldStart limits the concurrent requests of a cold engine (slow start). It starts cold: until the first report nothing is
// known of the engine.
type coldStart struct {
	cold bool
	// earned is the number of successful requests of this epoch, by which the limit is raised.
	earned int
	// epoch numbers the resets. Only requests admitted in the present epoch count: those before it tell of another state of
	// the engine, and one cause resets the limit once.
	epoch uint32

	seen   bool
	flag   bool
	start  string
	cached int

	// usual is the smoothed slowness of a warm engine; slowness is a time to first byte as a multiple of the normal time.
	usual   float64
	samples int
	jumps   int
	// failures is the number of requests in a row that failed at a warm engine.
	failures int
}

// reset makes the engine cold with the initial limit.
func (c *coldStart) reset() {
	c.cold = true
	c.earned = 0
	c.jumps = 0
	c.failures = 0
	c.epoch++
}

// report reads the signs of a cold engine from its report.
func (c *coldStart) report(load services.EngineLoad, cfg *Config) {
	switch {
	case !c.seen:
		// A sidecar that restarts beside a warm engine finds prefixes in its cache.
		c.cold = c.cold && (load.Cold || load.CachedPrefixes == 0)
	case c.restarted(load), load.Cold && !c.flag, c.lostCache(load, cfg):
		c.reset()
	}
	c.seen, c.flag, c.cached = true, load.Cold, load.CachedPrefixes
	if load.StartID != "" {
		c.start = load.StartID
	}
}

func (c *coldStart) restarted(load services.EngineLoad) bool {
	return load.StartID != "" && c.start != "" && load.StartID != c.start
}

func (c *coldStart) lostCache(load services.EngineLoad, cfg *Config) bool {
	return c.cached >= cfg.CacheMinPrefixes && float64(load.CachedPrefixes) < cfg.CacheLossShare*float64(c.cached)
}

// limited says whether the cold-start limit applies. A service without a cold-start rule has none.
func (c *coldStart) limited(limits *Limits) bool { return c.cold && limits.ColdInitial > 0 }

// limit is the number of concurrent requests that a cold engine gets.
func (c *coldStart) limit(limits *Limits) int {
	return min(limits.ColdInitial+c.earned, max(limits.ColdLimit, limits.ColdInitial))
}

// warmUp ends the cold start when the limit has reached its end and the engine does not call itself cold. It must not be called
// before the rules are known, which say where the limit ends.
func (c *coldStart) warmUp(limits *Limits) {
	if c.cold && !c.flag && c.limit(limits) >= limits.ColdLimit {
		c.cold = false
	}
}

// done counts a finished request.
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
			c.earned++
		}
		c.warmUp(limits)
	}
}

// failed counts a request that failed at the engine. A cold one starts over at once.
func (c *coldStart) failed(cfg *Config) {
	c.failures++
	if c.cold || c.failures >= cfg.FailureCount {
		c.reset()
	}
}

// firstByte judges a time to first byte. work is the work that was admitted when the request was, itself included.
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
	if c.jumped(slowness, cfg) {
		c.jumps++
		if c.jumps >= cfg.JumpCount {
			c.reset()
		}
		return
	}
	c.jumps = 0
	c.learn(slowness)
}

func (c *coldStart) jumped(slowness float64, cfg *Config) bool {
	return cfg.JumpFactor > 0 && c.samples >= usualMinSamples && slowness > 1 && slowness > cfg.JumpFactor*c.usual
}

func (c *coldStart) learn(slowness float64) {
	if c.samples == 0 {
		c.usual = slowness
	}
	c.samples++
	c.usual += usualWeight * (slowness - c.usual)
}
