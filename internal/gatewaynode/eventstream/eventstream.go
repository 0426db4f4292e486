// Package eventstream reads the events of a text/event-stream body, whole
// events only: a part of an event is never returned.
package eventstream

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
)

// MaxEventBytes bounds one event. An event is held in memory until it is whole, and a body without
// a line feed is an event that never ends.
const MaxEventBytes = 1 << 20

// Errors of a Reader.
var (
	// ErrPartial says that the stream ended inside an event.
	ErrPartial = errors.New("eventstream: stream ended inside an event")
	// ErrTooLong says that an event is longer than MaxEventBytes.
	ErrTooLong = errors.New("eventstream: event too long")
	// ErrMalformed says that a line is no field.
	ErrMalformed = errors.New("eventstream: malformed event")
)

// Event is one event of a stream.
type Event struct {
	// ID is the event's number; HasID tells whether it had one.
	ID    int64
	HasID bool
	// Version is the weight version from this event on, 0 if it does not say.
	Version int64
	// Data holds the data lines joined by line feeds.
	Data []byte
	// Raw is the event as it was read, with its closing blank line.
	Raw []byte
}

// Reader reads events.
type Reader struct {
	buffered     *bufio.Reader
	versionField string
}

// NewReader returns a reader of body. versionField names the field that tells
// a change of the weight version.
func NewReader(body io.Reader, versionField string) *Reader {
	return &Reader{buffered: bufio.NewReaderSize(body, 2048), versionField: versionField}
}

// Next returns the next whole event. It returns io.EOF at the end of the
// stream, ErrPartial if the end comes inside an event, and the body's error
// otherwise.
func (r *Reader) Next() (Event, error) {
	var event Event
	for {
		line, err := r.line(len(event.Raw))
		if err != nil {
			if errors.Is(err, io.EOF) && len(event.Raw)+len(line) > 0 {
				return Event{}, ErrPartial
			}
			return Event{}, err
		}
		event.Raw = append(event.Raw, line...)
		text := bytes.TrimRight(line, "\r\n")
		if len(text) == 0 {
			if len(event.Raw) == len(line) {
				event.Raw = event.Raw[:0]
				continue
			}
			return event, nil
		}
		if err := r.field(&event, text); err != nil {
			return Event{}, err
		}
	}
}

func (r *Reader) line(used int) ([]byte, error) {
	var line []byte
	for {
		part, err := r.buffered.ReadSlice('\n')
		line = append(line, part...)
		if used+len(line) > MaxEventBytes {
			return nil, ErrTooLong
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return line, err
		}
	}
}

func (r *Reader) field(event *Event, text []byte) error {
	name, value, found := bytes.Cut(text, []byte(":"))
	if !found || len(name) == 0 {
		// A comment, or a field without a value: neither carries anything here.
		return nil
	}
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(name) {
	case "id":
		number, err := strconv.ParseInt(string(value), 10, 64)
		if err != nil {
			return ErrMalformed
		}
		event.ID, event.HasID = number, true
	case "data":
		if event.Data != nil {
			event.Data = append(event.Data, '\n')
		}
		event.Data = append(event.Data, value...)
		if event.Data == nil {
			event.Data = []byte{}
		}
	case r.versionField:
		number, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
		if err != nil {
			return ErrMalformed
		}
		event.Version = number
	}
	return nil
}
