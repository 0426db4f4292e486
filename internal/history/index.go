package history

import "github.com/sliplift/sliplift/internal/api"

// index is the truth about requests, joined by request id: what the callers
// asked for, and what the back ends ran. Several judges read it.
type index struct {
	requests map[string]*requestTruth
	// holders are the request ids that were sent with an idempotency key.
	holders map[string][]string
}

// requestTruth is everything known about one request id.
type requestTruth struct {
	sent bool
	// key is the idempotency key with which the request was sent, runKey the one
	// with which it reached an application.
	key            string
	runKey         string
	repeatable     bool
	promptChecksum string
	streams        []streamTruth
	runs           []runTruth
}

// streamTruth is a stream that an engine ended.
type streamTruth struct {
	mark          mark
	segments      []api.Segment
	resumedTokens int
	tokens        int
	resumedSum    string
	wholeSum      string
	promptSum     string
	finished      bool
}

// runTruth is a sign that a request reached a back end.
type runTruth struct {
	mark      mark
	attempt   int
	checksum  string
	promptSum string
}

func newIndex() *index {
	return &index{requests: make(map[string]*requestTruth), holders: make(map[string][]string)}
}

func (x *index) observe(event *Event, at Position) {
	switch event.Kind {
	case KindRequestSent:
		x.send(event)
	case KindStreamStarted, KindInvokeStarted, KindInvoked:
		truth := x.request(event.RequestID)
		if event.Key != "" {
			truth.runKey = event.Key
		}
		truth.runs = append(truth.runs, runTruth{
			mark:      newMark(event, at),
			attempt:   event.Attempt,
			checksum:  event.Checksum,
			promptSum: event.PromptChecksum,
		})
	case KindStreamEnded:
		truth := x.request(event.RequestID)
		truth.streams = append(truth.streams, newStreamTruth(event, at))
	}
}

func (x *index) send(event *Event) {
	truth := x.request(event.RequestID)
	truth.promptChecksum = event.PromptChecksum
	if truth.sent {
		return
	}
	truth.sent = true
	truth.key = event.Key
	truth.repeatable = event.Repeatable
	if event.Key != "" {
		x.holders[event.Key] = append(x.holders[event.Key], event.RequestID)
	}
}

func newStreamTruth(event *Event, at Position) streamTruth {
	stream := streamTruth{
		mark:          newMark(event, at),
		segments:      event.Segments,
		resumedTokens: event.ResumedTokens,
		tokens:        countTokens(event.Segments),
		resumedSum:    event.ResumedChecksum,
		wholeSum:      event.WholeChecksum,
		promptSum:     event.PromptChecksum,
		finished:      event.FinishReason == api.FinishStop || event.FinishReason == api.FinishLength,
	}
	if stream.wholeSum == "" && stream.resumedTokens == 0 {
		stream.wholeSum = event.Checksum
	}
	return stream
}

// strangers returns, by idempotency key, the request ids that reached an
// application with the key although no caller sent them with it.
func (x *index) strangers() map[string][]string {
	found := make(map[string][]string)
	for id, truth := range x.requests {
		if truth.runKey != "" && truth.runKey != truth.key {
			found[truth.runKey] = append(found[truth.runKey], id)
		}
	}
	return found
}

// request returns the truth of an id, created if it is new.
func (x *index) request(id string) *requestTruth {
	truth := x.requests[id]
	if truth == nil {
		truth = &requestTruth{}
		x.requests[id] = truth
	}
	return truth
}

// end is the number of tokens of a stream's whole text.
func (s *streamTruth) end() int { return s.resumedTokens + s.tokens }

// startedWithoutEnd tells whether a stream began of which no end is known, so
// that the truth about the request is not whole.
func (t *requestTruth) startedWithoutEnd() bool {
	started := 0
	for i := range t.runs {
		if t.runs[i].mark.kind() == KindStreamStarted {
			started++
		}
	}
	return started > len(t.streams)
}

func countTokens(segments []api.Segment) int {
	tokens := 0
	for _, segment := range segments {
		tokens += segment.Tokens
	}
	return tokens
}
