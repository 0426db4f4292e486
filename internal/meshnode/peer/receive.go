package peer

import (
	"bufio"
	"context"
	"errors"
	"runtime/debug"
	"time"

	"github.com/zeebo/errs/v2"
)

// read takes lines until the connection ends.
func (l *link) read(reader *bufio.Reader) {
	for {
		line, err := readLine(reader, l.t.limits.LineBytes)
		if err != nil {
			l.countMalformed(err)
			l.close(err)
			return
		}
		message, err := decodeMessage(line)
		if err != nil {
			l.countMalformed(err)
			l.close(err)
			return
		}
		message.From = l.node
		message.Incarnation = l.incarnation.Load()
		l.receive(message, len(line)+1)
	}
}

func (l *link) receive(message Message, size int) {
	l.mu.Lock()
	l.lastUsed = time.Now()
	l.unansweredSince = time.Time{}
	l.mu.Unlock()
	if message.Response {
		l.t.counters.received(message.Kind, size)
		l.resolve(message)
		return
	}
	handler := l.t.handler(message.Kind)
	if handler == nil {
		l.t.counters.dropped(DropUnknownKind, 1)
		l.respond(message, nil, errs.Errorf("no handler of kind %q", message.Kind))
		return
	}
	l.t.counters.received(message.Kind, size)
	if !l.acquireHandler() {
		l.t.counters.dropped(DropOverloaded, 1)
		l.respond(message, nil, errs.Errorf("too many requests at once"))
		return
	}
	l.t.spawn(func() {
		defer l.releaseHandler()
		l.run(handler, message)
	})
}

func (l *link) resolve(message Message) {
	l.mu.Lock()
	waiting := l.pending[message.ID]
	delete(l.pending, message.ID)
	l.mu.Unlock()
	if waiting == nil {
		l.t.counters.dropped(DropLate, 1)
		return
	}
	waiting.done <- result{message: message}
}

func (l *link) acquireHandler() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.handlers >= l.t.limits.Handlers {
		return false
	}
	l.handlers++
	return true
}

func (l *link) releaseHandler() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.handlers--
}

func (l *link) run(handler Handler, message Message) {
	ctx, cancel := l.t.ctx, context.CancelFunc(func() {})
	if message.ID != 0 {
		timeout := time.Duration(message.TimeoutMS) * time.Millisecond
		if timeout == 0 {
			timeout = l.t.limits.CallTimeout
		}
		ctx, cancel = context.WithTimeout(l.ctx, timeout)
	}
	defer cancel()
	answer, err := l.runRecovered(ctx, handler, message)
	l.respond(message, answer, err)
}

func (l *link) runRecovered(ctx context.Context, handler Handler, message Message) (answer any, err error) {
	defer func() {
		if reason := recover(); reason != nil {
			l.t.counters.update(func(s *Stats) { s.HandlerPanics++ })
			l.t.lg.WithField("kind", message.Kind).WithField("from", message.From).Errorf("handler panicked: %v\n%s", reason, debug.Stack())
			answer, err = nil, errs.Errorf("handler panicked")
		}
	}()
	return handler(ctx, message.From, message.Body)
}

// respond answers a request; one-way messages get no answer.
func (l *link) respond(request Message, answer any, err error) {
	if request.ID == 0 {
		return
	}
	response := Message{Kind: request.Kind, ID: request.ID, Response: true}
	if err != nil {
		response.Error = err.Error()
		answer = nil
	}
	line, err := l.t.encode(response, answer)
	if err != nil {
		l.t.lg.WithError(err).WithField("kind", request.Kind).Warn("response not encoded")
		response.Body = nil
		response.Error = err.Error()
		line, err = l.t.encode(response, nil)
	}
	if err == nil {
		err = l.enqueue(&outgoing{kind: request.Kind, line: line, response: true})
	}
	if err != nil {
		l.t.counters.dropped(DropConnection, 1)
	}
}

func (l *link) countMalformed(err error) {
	if !errors.Is(err, ErrMalformed) {
		return
	}
	l.t.counters.update(func(s *Stats) { s.Malformed++ })
	l.t.lg.WithError(err).WithField("from", l.node).Warn("connection closed")
}
