package upstream

import (
	"bytes"
	"io"
)

const (
	// maxHeadBytes bounds the head of an answer, with the informational ones before it.
	maxHeadBytes = 64 << 10
	// defaultMaxAnswer bounds the body of an answer, with its framing. Nothing else would end one
	// that has no length and never ends.
	defaultMaxAnswer = 16 << 20
)

// meter reads from a connection and fails with ErrTooLong once the bytes that the current part of
// an answer may have are used up. It counts bytes as they arrive, so that it also bounds what
// a parser accumulates, such as a line without an end, or passes over, such as chunk extensions.
type meter struct {
	source io.Reader
	left   int
	// record, if not nil, is given a copy of what is read.
	record *bytes.Buffer
}

// allow sets the number of bytes that may be read from now on.
func (m *meter) allow(bytes int) { m.left = bytes }

// Read implements io.Reader.
func (m *meter) Read(content []byte) (int, error) {
	if m.left <= 0 {
		return 0, ErrTooLong
	}
	n, err := m.source.Read(content[:min(len(content), m.left)])
	m.left -= n
	if m.record != nil {
		m.record.Write(content[:n])
	}
	return n, err
}
