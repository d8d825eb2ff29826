package bench

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/jayridge/jayridge/request/result"
)

const (
	// thinkTime is the mean time from an answer to the chat's next request.
	thinkTime = 90 * time.Second
	// meanTurns is the mean number of requests of a chat.
	meanTurns = 12
	// turnTokens is what a caller adds to the prompt besides the last answer.
	turnTokens = 100
	// answerTime is the mean time of an answer without a cached prompt.
	answerTime = expectedAnswer*answerTokenTime + meanWork*promptTokenTime
	// requestDeadline is the time a caller waits.
	requestDeadline = 60 * time.Second
	// bigTeamShare is the share of the largest team in the traffic; smallTeams share the rest.
	bigTeamShare = 0.2
	smallTeams   = 9
)

// chats are callers that return after each answer.
type chats struct {
	f   *fleet
	rng *rand.Rand
	// ended sees the end of each request.
	ended func(*job, result.Code)
}

// startChats starts as many chats as keep the given share of the capacity of n runners busy.
func startChats(f *fleet, n int, utilisation float64, ended func(*job, result.Code)) *chats {
	c := &chats{f: f, rng: rand.New(rand.NewPCG(f.opts.seed, 2)), ended: ended}
	perRunner := utilisation * capacityRequests * float64(thinkTime+answerTime) / float64(answerTime)
	for range int(float64(n) * perRunner) {
		c.begin(true)
	}
	return c
}

// begin starts a chat. A chat at the start of the run is in the middle of its turns.
func (c *chats) begin(middle bool) {
	j := &job{chat: c.rng.Uint64(), team: teamOf(c.rng), prompt: 500 + c.rng.IntN(2500)}
	wait := thinkTime
	if middle {
		j.prompt += int(c.rng.ExpFloat64() * meanTurns * (expectedAnswer + turnTokens))
		wait += answerTime
		c.f.remember(j)
	}
	c.f.after(c.think(wait), func() { c.ask(j) })
}

// remember caches the prompt of a chat in the middle of its turns at its first candidate.
func (f *fleet) remember(j *job) {
	for _, first := range byView(f.entries[0], j)[:1] {
		f.byID[first.ID].store(j.chat, j.prompt)
	}
}

func teamOf(rng *rand.Rand) string {
	if rng.Float64() < bigTeamShare {
		return "big"
	}
	return fmt.Sprintf("team-%d", rng.IntN(smallTeams))
}

func (c *chats) think(mean time.Duration) time.Duration {
	return time.Duration(c.rng.ExpFloat64() * float64(mean))
}

func answerTokens(rng *rand.Rand) int { return expectedAnswer/2 + rng.IntN(expectedAnswer) }

func (c *chats) ask(j *job) {
	j.answer = answerTokens(c.rng)
	j.deadline = c.f.elapsed + requestDeadline
	j.done = c.answered
	c.f.submit(j)
}

func (c *chats) answered(j *job, code result.Code) {
	c.ended(j, code)
	if c.rng.Float64() < 1.0/meanTurns {
		c.begin(false)
		return
	}
	next := &job{chat: j.chat, team: j.team, prompt: j.prompt}
	if code == result.OK {
		next.prompt += j.answer + turnTokens
	}
	c.f.after(c.think(thinkTime), func() { c.ask(next) })
}
