package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"
)

// bytesPerToken is the usual rough length of a token of text.
const bytesPerToken = 4

// generation is one request in progress.
type generation struct {
	request GenerateBody
	work    uint64
	prefill time.Duration
	faults  Faults
	fail    bool
	// forgotten says that the request resumes a generation that the engine does not know.
	forgotten bool
	crash     chan struct{}
	canceled  chan struct{}
	released  <-chan struct{}
}

func (s *Server) generate(w http.ResponseWriter, r *http.Request) {
	var request GenerateBody
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	g, alive := s.begin(request)
	defer s.end(g)
	if !alive {
		panic(http.ErrAbortHandler)
	}
	if g.forgotten {
		http.Error(w, "the generation is not known, it cannot be resumed", http.StatusConflict)
		return
	}
	if g.fail {
		http.Error(w, "generation failed", http.StatusInternalServerError)
		return
	}
	if !s.stream(r.Context(), w, g) {
		panic(http.ErrAbortHandler)
	}
	s.complete()
}

// begin counts a request in. It reports false when the request crashes the engine.
func (s *Server) begin(request GenerateBody) (*generation, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	g := &generation{request: request, faults: s.faults, canceled: make(chan struct{}), released: s.hold.Released()}
	s.generated++
	s.counters.Received++
	s.counters.ByPath[request.Path]++
	s.counters.InFlight++
	s.counters.MaxInFlight = max(s.counters.MaxInFlight, s.counters.InFlight)
	g.fail = s.fails(request)
	g.forgotten = request.Offset > 0 && !s.known.Contains(request.ID)
	s.known.Add(request.ID, struct{}{})
	g.prefill = s.cachePrompt(request)
	g.work = uint64(len(request.Body)/bytesPerToken + MaxTokens(request.Body))
	s.work += g.work
	s.cancels[request.ID] = g.canceled
	g.crash = s.crash
	if s.cold {
		s.counters.MaxCold = max(s.counters.MaxCold, s.counters.InFlight)
	}
	overloaded := s.cold && s.cfg.ColdLimit > 0 && s.counters.InFlight > s.cfg.ColdLimit
	if overloaded || g.faults.CrashOn != "" && contains(request.Body, g.faults.CrashOn) {
		s.crashNow()
		return g, false
	}
	return g, true
}

// fails reports whether a fault makes the request fail that was just counted in. The lock is held.
func (s *Server) fails(request GenerateBody) bool {
	f := s.faults
	return f.FailEvery > 0 && s.generated%f.FailEvery == 0 ||
		f.FailPath != "" && request.Path == f.FailPath
}

// cachePrompt looks up the chat's prompt prefix, stores the new one, and returns the prefill time of what was missing.
func (s *Server) cachePrompt(request GenerateBody) time.Duration {
	tokens := len(request.Body) / bytesPerToken
	cached, hit := s.cache.Get(request.Chat)
	if request.Chat == 0 {
		hit = false
	}
	if hit {
		s.counters.CacheHits++
	} else {
		s.counters.CacheMisses++
		cached = 0
	}
	cached = min(cached, tokens)
	s.counters.PromptTokens += uint64(tokens)
	s.counters.CachedTokens += uint64(cached)
	if request.Chat != 0 {
		s.cache.Add(request.Chat, tokens)
		s.publish(request.Chat, false)
	}
	return time.Duration(tokens-cached) * s.cfg.PrefillPerToken
}

func (s *Server) end(g *generation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counters.InFlight--
	s.work -= g.work
	if s.cancels[g.request.ID] == g.canceled {
		delete(s.cancels, g.request.ID)
	}
}

func (s *Server) complete() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counters.Completed++
	s.answered++
	if s.answered >= s.cfg.WarmAfter {
		s.cold = false
	}
}

// stream sends the answer. It reports false when the answer was cut short.
func (s *Server) stream(ctx context.Context, w http.ResponseWriter, g *generation) bool {
	select {
	case <-g.released:
	case <-g.crash:
		return false
	case <-ctx.Done():
		return false
	}
	if !pause(ctx, g, g.prefill+time.Duration(g.faults.SlowMS)*time.Millisecond) {
		return false
	}
	parts := Answer(g.request.Body)
	if g.faults.TagVersion {
		parts = append([]string{s.cfg.Version + " "}, parts...)
	}
	flusher, _ := w.(http.Flusher)
	enc := json.NewEncoder(w)
	for i := int(g.request.Offset); i < len(parts); i++ {
		if g.faults.TruncateAfter > 0 && i >= g.faults.TruncateAfter {
			return false
		}
		if !pause(ctx, g, s.cfg.TokenInterval) {
			return false
		}
		if enc.Encode(Part{Data: parts[i]}) != nil {
			return false
		}
		if flusher != nil {
			flusher.Flush()
		}
	}
	return enc.Encode(Part{Done: true}) == nil
}

// pause waits for d and reports false if the request ends first.
func pause(ctx context.Context, g *generation, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-g.crash:
	case <-g.canceled:
	case <-ctx.Done():
	}
	return false
}

func contains(body []byte, text string) bool {
	return bytes.Contains(body, []byte(text))
}
