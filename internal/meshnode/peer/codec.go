package peer

import (
	"bufio"
	"encoding/json"
	"errors"
	"math"
	"time"

	"github.com/zeebo/errs/v2"
)

// ErrMalformed marks a line that is no message of this protocol.
const ErrMalformed = errs.Tag("peer: malformed line")

const (
	protocolName    = "sliplift-peer"
	protocolVersion = 1

	maxKindLength = 64
	newline       = '\n'
	// maxTimeoutMS is the longest timeout that a time.Duration holds.
	maxTimeoutMS = math.MaxInt64 / int64(time.Millisecond)
)

// hello is the first line in each direction of a connection.
type hello struct {
	Protocol    string `json:"protocol"`
	Version     int    `json:"version"`
	Node        string `json:"node"`
	Incarnation int64  `json:"incarnation"`
	// Address is where the sender accepts connections. Empty says that it
	// accepts none.
	Address string `json:"address,omitempty"`
}

func (h hello) check() error {
	if h.Protocol != protocolName {
		return ErrMalformed.Errorf("protocol %q", h.Protocol)
	}
	if h.Version != protocolVersion {
		return ErrMalformed.Errorf("protocol version %d, want %d", h.Version, protocolVersion)
	}
	if h.Node == "" {
		return ErrMalformed.Errorf("hello names no node")
	}
	return nil
}

func decodeHello(line []byte) (hello, error) {
	var h hello
	if err := json.Unmarshal(line, &h); err != nil {
		return hello{}, ErrMalformed.Wrap(err)
	}
	return h, h.check()
}

// decodeMessage decodes one line. Unknown fields are ignored, so that a newer
// node may add some.
func decodeMessage(line []byte) (Message, error) {
	var message Message
	if err := json.Unmarshal(line, &message); err != nil {
		return Message{}, ErrMalformed.Wrap(err)
	}
	if message.Kind == "" || len(message.Kind) > maxKindLength {
		return Message{}, ErrMalformed.Errorf("kind of %d bytes", len(message.Kind))
	}
	if message.Response && message.ID == 0 {
		return Message{}, ErrMalformed.Errorf("response without id")
	}
	if message.TimeoutMS < 0 || message.TimeoutMS > maxTimeoutMS {
		return Message{}, ErrMalformed.Errorf("timeout of %d ms", message.TimeoutMS)
	}
	return message, nil
}

// encodeLine encodes a value as one line of at most limit bytes.
func encodeLine(value any, limit int) ([]byte, error) {
	line, err := json.Marshal(value)
	if err != nil {
		return nil, errs.Wrap(err)
	}
	if len(line)+1 > limit {
		return nil, ErrTooLarge.Errorf("%d bytes, limit %d", len(line)+1, limit)
	}
	return append(line, newline), nil
}

// readLine returns the next line without its newline. The result is valid until
// the next read.
func readLine(reader *bufio.Reader, limit int) ([]byte, error) {
	part, err := reader.ReadSlice(newline)
	if err == nil && len(part) <= limit {
		return part[:len(part)-1], nil
	}
	line := append([]byte(nil), part...)
	for errors.Is(err, bufio.ErrBufferFull) && len(line) <= limit {
		part, err = reader.ReadSlice(newline)
		line = append(line, part...)
	}
	if len(line) > limit {
		return nil, ErrMalformed.Errorf("line longer than %d bytes", limit)
	}
	if err != nil {
		return nil, err
	}
	return line[:len(line)-1], nil
}
