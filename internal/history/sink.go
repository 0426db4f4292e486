package history

import (
	"bufio"
	"encoding/json"
	"io"
	"os"
	"sync"
	"time"

	"github.com/zeebo/errs/v2"
)

// ErrSink marks an error of writing a history.
const ErrSink = errs.Tag("history: write")

// writerBufferSize is the buffer of a WriterSink in bytes.
const writerBufferSize = 1 << 16

// WriterSink writes events as JSON lines, buffered. A history of a process
// that is killed lacks the events that were still in the buffer, so writers of
// the truth call Flush before they answer, or are not killed.
type WriterSink struct {
	mu      sync.Mutex
	buffer  *bufio.Writer
	encoder *json.Encoder
	closer  io.Closer
	err     error
}

// NewWriterSink returns a sink that writes to w. Close flushes it and does not
// close w.
func NewWriterSink(w io.Writer) *WriterSink {
	buffer := bufio.NewWriterSize(w, writerBufferSize)
	encoder := json.NewEncoder(buffer)
	encoder.SetEscapeHTML(false)
	return &WriterSink{buffer: buffer, encoder: encoder}
}

// NewFileSink returns a sink that appends to the file at path, which is created
// if it does not exist. Close flushes and closes it.
func NewFileSink(path string) (*WriterSink, error) {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
	if err != nil {
		return nil, ErrSink.Wrap(err)
	}
	sink := NewWriterSink(file)
	sink.closer = file
	return sink, nil
}

// Record implements Sink. The first write error is kept and returned by Flush
// and Close.
func (s *WriterSink) Record(event Event) {
	event = stamped(event)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err == nil {
		s.err = s.encoder.Encode(event)
	}
}

// Flush hands everything recorded so far to the underlying writer.
func (s *WriterSink) Flush() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.flushLocked()
}

// Close flushes the sink and closes its file, if it has one. Events recorded
// after Close are lost.
func (s *WriterSink) Close() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	err := s.flushLocked()
	if s.closer != nil {
		if closeErr := s.closer.Close(); err == nil && closeErr != nil {
			err = ErrSink.Wrap(closeErr)
		}
		s.closer = nil
	}
	if s.err == nil {
		s.err = os.ErrClosed
	}
	return err
}

func (s *WriterSink) flushLocked() error {
	if s.err == nil {
		s.err = s.buffer.Flush()
	}
	if s.err != nil {
		return ErrSink.Wrap(s.err)
	}
	return nil
}

// MemorySink keeps events in memory. The zero value is ready for use.
type MemorySink struct {
	mu     sync.Mutex
	events []Event
}

// Record implements Sink.
func (s *MemorySink) Record(event Event) {
	event = stamped(event)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events = append(s.events, event)
}

// Events returns a copy of what was recorded so far.
func (s *MemorySink) Events() []Event {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Event(nil), s.events...)
}

func stamped(event Event) Event {
	if event.AtMicros == 0 {
		event.AtMicros = time.Now().UnixMicro()
	}
	return event
}
