package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// crowdSize is the number of connections of the crowd.
	crowdSize = 100
	// longPathBytes is the length of the crowd's paths. With the rest of the head it stays below MaxHeaderBytes.
	longPathBytes = 15_500
	// ordinaryClients and ordinaryRequests give the ordinary requests, each client sends one after the other.
	ordinaryClients, ordinaryRequests = 10, 20
	// answerSlack is the time after the route's timeout within which more than half of the requests must have an answer.
	answerSlack = 500 * time.Millisecond
	// minUnanswered is the number of requests without an answer that counts.
	minUnanswered = 20
)

// longPath lets a crowd without keys ask for paths of very many short segments, one request at a time on each connection, and sends ordinary requests
// beside it. Without trouble, the paths are as long and have one segment.
func longPath(l *lab) (verdict, error) {
	l.oneCore = true
	l.store.put(keyConfig, config(1, []tenant{{"north", []string{"key-a"}}}))
	if err := l.addRunners("basket-app", 3, 6, 30*time.Millisecond); err != nil {
		return verdict{}, err
	}
	g, err := l.addGateway("front-suva-1", "suva")
	if err != nil {
		return verdict{}, err
	}
	path := "/" + strings.Repeat("x", longPathBytes-1)
	if l.trouble {
		path = strings.Repeat("/", longPathBytes)
	}
	c := &crowd{stop: make(chan struct{})}
	for range crowdSize {
		c.clients.Go(func() { c.ask(g.callers, path) })
	}
	time.Sleep(2 * time.Second)
	answers := ordinary(l, g)
	ready := g.isReady(time.Second)
	close(c.stop)
	c.clients.Wait()
	atTimeout, after := 0, 0
	for _, a := range answers {
		if a.status == 0 || a.took > requestTimeout {
			atTimeout++
		}
		if a.status == 0 {
			after++
		}
	}
	text := fmt.Sprintf("of %d ordinary requests %d had no answer at the route's timeout and %d none %v later; ready at the end: %v; the crowd got %d answers",
		len(answers), atTimeout, after, answerSlack, ready, c.answered.Load())
	return verdict{after >= minUnanswered && 2*after > atTimeout, text}, nil
}

// ordinary sends the ordinary requests.
func ordinary(l *lab, g *gatewayProcess) []answer {
	var clients sync.WaitGroup
	var mu sync.Mutex
	var answers []answer
	for range ordinaryClients {
		clients.Go(func() {
			c := newClient()
			defer c.CloseIdleConnections()
			for range ordinaryRequests {
				a := send(c, l.record, g.callers, booking("key-a"))
				mu.Lock()
				answers = append(answers, a)
				mu.Unlock()
				time.Sleep(300 * time.Millisecond)
			}
		})
	}
	clients.Wait()
	return answers
}

// crowd is a number of clients that ask for one path.
type crowd struct {
	clients  sync.WaitGroup
	stop     chan struct{}
	answered atomic.Int64
}

func (c *crowd) stopped() bool {
	select {
	case <-c.stop:
		return true
	default:
		return false
	}
}

// ask asks for the path again and again, and waits for each answer.
func (c *crowd) ask(address, path string) {
	for !c.stopped() {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			time.Sleep(10 * time.Millisecond)
			continue
		}
		c.askOver(conn, path)
		_ = conn.Close()
	}
}

func (c *crowd) askOver(conn net.Conn, path string) {
	reader := bufio.NewReader(conn)
	for !c.stopped() {
		_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
		if _, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", path, host); err != nil {
			return
		}
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			return
		}
		_, err = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		if err != nil {
			return
		}
		c.answered.Add(1)
	}
}
