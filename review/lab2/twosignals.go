package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// streamClients is the number of streams that are under way when the gateway is told to stop.
	streamClients = 20
	// streamEvents and eventPause give the length of a stream, 4.2 s.
	streamEvents = 60
	eventPause   = 70 * time.Millisecond
	// signalGap is the time between the two signals.
	signalGap = time.Second
	// streamDeadline is the TimeoutMs of the route of streams and the clients' deadline.
	streamDeadline = 12 * time.Second
)

// serveStream answers with a stream of events that takes longer than a plain answer.
func (r *runner) serveStream(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	for i := range streamEvents {
		_, err := fmt.Fprintf(w, "id: %d\ndata: %040d\n\n", i+1, i)
		if err != nil || control.Flush() != nil {
			return
		}
		time.Sleep(eventPause)
	}
}

// twoSignals stops a gateway while streams are under way, and sends the signal once more a second later. All streams must reach their clients whole.
func twoSignals(l *lab) (verdict, error) {
	c := config(1, []tenant{{"north", []string{"key-a"}}})
	chat := route("chat", "/chat/", "streaming")
	chat["TimeoutMs"], chat["MaxAttempts"], chat["GapAimMs"] = streamDeadline.Milliseconds(), 1, 250
	c["Routes"] = append(c["Routes"].([]map[string]any), chat)
	l.store.put(keyConfig, c)
	if err := l.addRunners("basket-app", 3, 64, 30*time.Millisecond); err != nil {
		return verdict{}, err
	}
	g, err := l.addGateway("front-suva-1", "suva")
	if err != nil {
		return verdict{}, err
	}
	var clients sync.WaitGroup
	var mu sync.Mutex
	whole := 0
	for range streamClients {
		clients.Go(func() {
			if l.readStream(g) {
				mu.Lock()
				whole++
				mu.Unlock()
			}
		})
	}
	time.Sleep(time.Second)
	l.record.line("SIGTERM")
	g.signal(syscall.SIGTERM)
	time.Sleep(signalGap)
	if l.trouble {
		l.record.line("SIGTERM again")
		g.signal(syscall.SIGTERM)
	}
	clients.Wait()
	cut := streamClients - whole
	return verdict{cut > 0, fmt.Sprintf("%d of %d streams that were under way at the signal ended without a complete answer", cut, streamClients)}, nil
}

// readStream sends a request for a stream and reports whether it came whole.
func (l *lab) readStream(g *gatewayProcess) bool {
	id := "q" + strconv.FormatInt(lastID.Add(1), 10)
	ctx, cancel := context.WithTimeout(context.Background(), streamDeadline)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+g.callers+"/chat/1", strings.NewReader("{}"))
	if err != nil {
		return false
	}
	q.Host = host
	q.Header.Set(headerRequestID, id)
	q.Header.Set(headerDeadline, strconv.FormatInt(streamDeadline.Milliseconds(), 10))
	q.Header.Set("Authorization", "Bearer key-a")
	c := newClient()
	defer c.CloseIdleConnections()
	l.record.line("sent %s /chat/1 to %s", id, g.callers)
	response, err := c.Do(q)
	if err != nil {
		l.record.line("answered %s: %v", id, err)
		return false
	}
	defer response.Body.Close() //nolint:errcheck // an error does not affect the result
	text, err := io.ReadAll(response.Body)
	events := strings.Count(string(text), "\n\n")
	l.record.line("answered %s status %d, %d of %d events, error %v", id, response.StatusCode, events, streamEvents, err)
	return err == nil && response.StatusCode == http.StatusOK && events == streamEvents
}
