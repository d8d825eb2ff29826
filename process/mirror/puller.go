package mirror

import (
	"bytes"
	"slices"
	"time"
)

// PullConfig is the configuration of a Puller.
type PullConfig struct {
	// Period is the minimum time between two rounds of questions.
	Period time.Duration
	// Timeout is the time after which an unanswered question, or a fetch without progress, is dropped.
	Timeout time.Duration
	// MaxValueBytes is the size in bytes above which values are not part of an answer. They are fetched from one neighbour at a time.
	MaxValueBytes int
	// ChunkBytes is the maximum size in bytes of a part of a value. At most one part is under way, so that other messages are not held up.
	ChunkBytes int
}

// LargeValue is a value that is not part of an answer because of its size.
type LargeValue struct {
	Key      string
	Revision uint64
	Bytes    int
}

// Question asks a neighbour for its changes after a revision.
type Question struct {
	ID       uint64
	Peer     string
	Revision uint64
}

// Answer is a neighbour's answer to a question.
type Answer struct {
	ID   uint64
	Peer string
	// After is the base revision of the batch.
	After uint64
	// Batch has all changes except Large. Its times are those of Since at the neighbour, by the receiver's clock.
	Batch Batch
	Large []LargeValue
}

// ValueRequest asks a neighbour for a part of a value.
type ValueRequest struct {
	ID       uint64
	Peer     string
	Key      string
	Revision uint64
	Offset   int
}

// Puller decides which neighbours are asked for the changes of the store that the own copy lacks, and which of them sends large values. It
// does no I/O and does not read the clock.
//
// Each neighbour has at most one unanswered question, answers are small, and at most one part of one large value is under way, so that
// catching up takes a bounded share of a slow link.
type Puller struct {
	cfg       PullConfig
	lastID    uint64
	askedAt   time.Time
	questions map[string]sentQuestion
	// fetch is the answer whose large values are being fetched, nil if there is none.
	fetch *fetch
	// failedPeer is the neighbour of the latest fetch that made no progress. Another one is preferred until failedUntil.
	failedPeer  string
	failedUntil time.Time
}

type sentQuestion struct {
	id uint64
	at time.Time
}

// fetch is an answer with the values received so far.
type fetch struct {
	answer Answer
	// id is the ID of the latest ValueRequest, at the time of the latest progress.
	id    uint64
	at    time.Time
	value bytes.Buffer
}

// NewPuller returns a Puller without questions.
func NewPuller(cfg PullConfig) *Puller {
	return &Puller{cfg: cfg, questions: make(map[string]sentQuestion)}
}

// Ask returns the questions to send now to peers that have none unanswered, at most once in each period.
func (p *Puller) Ask(now time.Time, revision uint64, peers []string) []Question {
	if now.Sub(p.askedAt) < p.cfg.Period {
		return nil
	}
	p.askedAt = now
	var questions []Question
	for _, peer := range peers {
		if _, waiting := p.questions[peer]; waiting {
			continue
		}
		p.lastID++
		p.questions[peer] = sentQuestion{p.lastID, now}
		questions = append(questions, Question{ID: p.lastID, Peer: peer, Revision: revision})
	}
	return questions
}

// Expire drops questions and fetches without progress and returns the neighbours that they were sent to.
func (p *Puller) Expire(now time.Time) []string {
	var expired []string
	for peer, q := range p.questions {
		if now.Sub(q.at) > p.cfg.Timeout {
			delete(p.questions, peer)
			expired = append(expired, peer)
		}
	}
	if f := p.fetch; f != nil && now.Sub(f.at) > p.cfg.Timeout {
		p.fetchFailed(now)
		expired = append(expired, f.answer.Peer)
	}
	slices.Sort(expired)
	return expired
}

// RemovePeer drops what a neighbour was asked for, because the connection to it has ended.
func (p *Puller) RemovePeer(now time.Time, peer string) {
	delete(p.questions, peer)
	if p.fetch != nil && p.fetch.answer.Peer == peer {
		p.fetchFailed(now)
	}
}

func (p *Puller) fetchFailed(now time.Time) {
	p.failedPeer, p.failedUntil = p.fetch.answer.Peer, now.Add(p.cfg.Timeout)
	p.fetch = nil
}

// AskedAt returns when a neighbour was sent the question with an ID, and false if the question is not open.
func (p *Puller) AskedAt(peer string, id uint64) (time.Time, bool) {
	q, found := p.questions[peer]
	return q.at, found && q.id == id
}

// HandleAnswer returns the changes of an answer that can be applied now, none if the answer is to a question that is not open. If large values
// are missing, the batch does not change the copy's revision. next is the first request for them; it is nil if they are not needed, are
// fetched already or mayFetch is false.
func (p *Puller) HandleAnswer(now time.Time, a Answer, revision uint64, mayFetch bool) (b Batch, next *ValueRequest) {
	if _, open := p.AskedAt(a.Peer, a.ID); !open {
		return Batch{}, nil
	}
	delete(p.questions, a.Peer)
	if len(a.Large) == 0 {
		return a.Batch, nil
	}
	avoided := a.Peer == p.failedPeer && now.Before(p.failedUntil)
	if mayFetch && p.fetch == nil && !avoided && a.Batch.Revision > revision {
		p.fetch = &fetch{answer: a, at: now}
		next = p.nextRequest()
	}
	return Batch{Items: a.Batch.Items, ContactAt: a.Batch.ContactAt}, next
}

func (p *Puller) nextRequest() *ValueRequest {
	p.lastID++
	f := p.fetch
	f.id = p.lastID
	large := f.answer.Large[0]
	return &ValueRequest{ID: f.id, Peer: f.answer.Peer, Key: large.Key, Revision: large.Revision, Offset: f.value.Len()}
}

// HandleChunk adds a part of a value. It returns the next request, or the complete answer once all values have arrived, or nothing if the part
// was not asked for or the copy has the changes meanwhile. An empty part means that the neighbour no longer has the value.
func (p *Puller) HandleChunk(now time.Time, peer string, id uint64, data []byte, revision uint64) (next *ValueRequest, complete *Answer) {
	f := p.fetch
	if f == nil || f.answer.Peer != peer || f.id != id {
		return nil, nil
	}
	if len(data) == 0 || revision >= f.answer.Batch.Revision {
		p.fetch = nil
		return nil, nil
	}
	f.at = now
	f.value.Write(data)
	large := f.answer.Large[0]
	if f.value.Len() < large.Bytes {
		return p.nextRequest(), nil
	}
	f.answer.Batch.Items = append(f.answer.Batch.Items, Item{Key: large.Key, Revision: large.Revision, Value: bytes.Clone(f.value.Bytes())})
	f.answer.Large = f.answer.Large[1:]
	f.value.Reset()
	if len(f.answer.Large) > 0 {
		return p.nextRequest(), nil
	}
	p.fetch = nil
	return nil, &f.answer
}

// SplitLarge separates the values of a batch that are larger than maxBytes.
func (b Batch) SplitLarge(maxBytes int) (small Batch, large []LargeValue) {
	small = b
	small.Items = nil
	for _, i := range b.Items {
		if len(i.Value) > maxBytes {
			large = append(large, LargeValue{Key: i.Key, Revision: i.Revision, Bytes: len(i.Value)})
		} else {
			small.Items = append(small.Items, i)
		}
	}
	return small, large
}

// Chunk returns the part of a value from an offset, at most maxBytes.
func Chunk(value []byte, offset, maxBytes int) []byte {
	if offset < 0 || offset >= len(value) {
		return nil
	}
	return value[offset:min(len(value), offset+maxBytes)]
}
