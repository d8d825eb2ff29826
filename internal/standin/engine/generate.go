package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// bytesPerToken is the approximate average length of a token.
const bytesPerToken = 4

// generation is the state of one request in progress.
type generation struct {
	request     GenerateRequest
	workUnits   uint64
	prefillTime time.Duration
	faults      Faults
	fail        bool
	// unknownID is set if the request asks to resume a generation whose ID the engine does not know.
	unknownID bool
	crashed   chan struct{}
	canceled  chan struct{}
	released  <-chan struct{}
}

func (s *Server) generate(w http.ResponseWriter, r *http.Request) {
	var request GenerateRequest
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	g, ok := s.startGeneration(request)
	defer s.endGeneration(g)
	if !ok {
		panic(http.ErrAbortHandler)
	}
	if g.unknownID {
		http.Error(w, fmt.Sprintf("generation %q cannot be resumed: unknown ID", request.ID), http.StatusConflict)
		return
	}
	if g.fail {
		http.Error(w, "injected fault: generation failed", http.StatusInternalServerError)
		return
	}
	if !s.streamAnswer(r.Context(), w, g) {
		panic(http.ErrAbortHandler)
	}
	s.recordCompletion()
}

// startGeneration registers a request and updates the counters. It returns false if the request crashes the engine.
func (s *Server) startGeneration(request GenerateRequest) (*generation, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	g := &generation{request: request, faults: s.faults, canceled: make(chan struct{}), released: s.hold.Released()}
	s.requestCount++
	s.counters.Received++
	s.counters.ByPath[request.Path]++
	s.counters.InFlight++
	s.counters.MaxInFlight = max(s.counters.MaxInFlight, s.counters.InFlight)
	g.fail = s.shouldFail(request)
	g.unknownID = request.Offset > 0 && !s.resumable.Contains(request.ID)
	s.resumable.Add(request.ID, struct{}{})
	g.prefillTime = s.cachePrompt(request)
	g.workUnits = uint64(len(request.Body)/bytesPerToken + MaxTokens(request.Body))
	s.workUnits += g.workUnits
	s.cancels[request.ID] = g.canceled
	g.crashed = s.crashed
	if s.cold {
		s.counters.MaxColdInFlight = max(s.counters.MaxColdInFlight, s.counters.InFlight)
	}
	overloaded := s.cold && s.cfg.ColdLimit > 0 && s.counters.InFlight > s.cfg.ColdLimit
	if overloaded || g.faults.CrashOn != "" && contains(request.Body, g.faults.CrashOn) {
		s.simulateCrash()
		return g, false
	}
	return g, true
}

// shouldFail reports whether an injected fault applies to the request registered last. The caller holds mu.
func (s *Server) shouldFail(request GenerateRequest) bool {
	f := s.faults
	return f.FailEvery > 0 && s.requestCount%f.FailEvery == 0 ||
		f.FailPath != "" && request.Path == f.FailPath
}

// cachePrompt looks up the cached prompt prefix of the chat, stores the new prompt, and returns the prefill time of the tokens that
// were not cached. The caller holds mu.
func (s *Server) cachePrompt(request GenerateRequest) time.Duration {
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
		s.appendEvent(request.Chat, false)
	}
	return time.Duration(tokens-cached) * s.cfg.PrefillPerToken
}

func (s *Server) endGeneration(g *generation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counters.InFlight--
	s.workUnits -= g.workUnits
	if s.cancels[g.request.ID] == g.canceled {
		delete(s.cancels, g.request.ID)
	}
}

func (s *Server) recordCompletion() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counters.Completed++
	s.completedSinceStart++
	if s.completedSinceStart >= s.cfg.WarmAfter {
		s.cold = false
	}
}

// streamAnswer sends the answer. It returns false if the answer ended early.
func (s *Server) streamAnswer(ctx context.Context, w http.ResponseWriter, g *generation) bool {
	select {
	case <-g.released:
	case <-g.crashed:
		return false
	case <-ctx.Done():
		return false
	}
	if !sleepUnlessEnded(ctx, g, g.prefillTime+time.Duration(g.faults.SlowMS)*time.Millisecond) {
		return false
	}
	parts := ExpectedAnswer(g.request.Body)
	if g.faults.TagVersion {
		parts = append([]string{s.cfg.Version + " "}, parts...)
	}
	flusher, _ := w.(http.Flusher)
	enc := json.NewEncoder(w)
	for i := int(g.request.Offset); i < len(parts); i++ {
		if g.faults.TruncateAfter > 0 && i >= g.faults.TruncateAfter {
			return false
		}
		if !sleepUnlessEnded(ctx, g, s.cfg.TokenInterval) {
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

// sleepUnlessEnded waits for d. It returns false if the engine crashes or the request is canceled first.
func sleepUnlessEnded(ctx context.Context, g *generation, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-g.crashed:
	case <-g.canceled:
	case <-ctx.Done():
	}
	return false
}

func contains(body []byte, text string) bool {
	return bytes.Contains(body, []byte(text))
}
