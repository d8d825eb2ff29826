package bench

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/jayridge/jayridge/request/result"
)

const (
	// thinkTime is the mean time between an answer and the chat's next request.
	thinkTime = 90 * time.Second
	// meanTurns is the mean number of requests of a chat.
	meanTurns = 12
	// turnTokens is the number of tokens of a caller's next message. The prompt also grows by the last answer.
	turnTokens = 100
	// answerTime is the mean time of an answer whose prompt is not cached.
	answerTime = expectedAnswer*answerTokenTime + meanWork*promptTokenTime
	// requestDeadline is the deadline of each request.
	requestDeadline = 60 * time.Second
	// bigTeamShare is the largest team's share of the traffic; smallTeams is the number of teams that share the rest.
	bigTeamShare = 0.2
	smallTeams   = 9
)

// chats is a closed-loop load generator: each chat sends its next request a think time after the answer to the previous one.
type chats struct {
	fleet *fleet
	rng   *rand.Rand
	// onEnd is called at the end of each request.
	onEnd func(*job, result.Code)
}

// startChats starts the number of chats that keeps the given share of the capacity of n runners busy.
func startChats(f *fleet, n int, utilisation float64, ended func(*job, result.Code)) *chats {
	c := &chats{fleet: f, rng: rand.New(rand.NewPCG(f.opts.seed, 2)), onEnd: ended}
	perRunner := utilisation * capacityRequests * float64(thinkTime+answerTime) / float64(answerTime)
	for range int(float64(n) * perRunner) {
		c.startChat(true)
	}
	return c
}

// startChat starts a chat. With inProgress set, as at the start of a run, its prompt has a random length, as after earlier turns.
func (c *chats) startChat(inProgress bool) {
	j := &job{chat: c.rng.Uint64(), team: teamOf(c.rng), prompt: 500 + c.rng.IntN(2500)}
	wait := thinkTime
	if inProgress {
		j.prompt += int(c.rng.ExpFloat64() * meanTurns * (expectedAnswer + turnTokens))
		wait += answerTime
		c.fleet.seedCache(j)
	}
	c.fleet.after(c.thinkDelay(wait), func() { c.sendRequest(j) })
}

// seedCache caches the prompt of a chat in progress at its first candidate.
func (f *fleet) seedCache(j *job) {
	for _, first := range routeByView(f.entries[0], j)[:1] {
		f.byID[first.ID].cachePrompt(j.chat, j.prompt)
	}
}

func teamOf(rng *rand.Rand) string {
	if rng.Float64() < bigTeamShare {
		return "big"
	}
	return fmt.Sprintf("team-%d", rng.IntN(smallTeams))
}

func (c *chats) thinkDelay(mean time.Duration) time.Duration {
	return time.Duration(c.rng.ExpFloat64() * float64(mean))
}

func answerTokens(rng *rand.Rand) int { return expectedAnswer/2 + rng.IntN(expectedAnswer) }

func (c *chats) sendRequest(j *job) {
	j.answer = answerTokens(c.rng)
	j.deadline = c.fleet.elapsed + requestDeadline
	j.onDone = c.onAnswer
	c.fleet.submit(j)
}

func (c *chats) onAnswer(j *job, code result.Code) {
	c.onEnd(j, code)
	if c.rng.Float64() < 1.0/meanTurns {
		c.startChat(false)
		return
	}
	next := &job{chat: j.chat, team: j.team, prompt: j.prompt}
	if code == result.OK {
		next.prompt += j.answer + turnTokens
	}
	c.fleet.after(c.thinkDelay(thinkTime), func() { c.sendRequest(next) })
}
