package upstream

import (
	"bytes"
	"errors"
	"net/http"

	"github.com/sliplift/sliplift/internal/httpresponse"
)

// Errors of heads that net/http takes.
var (
	errVersion  = errors.New("answer is not of HTTP/1")
	errFolded   = errors.New("answer has a folded field")
	errFraming  = errors.New("answer has chunks beside a length, or in HTTP/1.0")
	errSwitched = errors.New("back end switched protocols, which no call asks for")
)

// readHead reads the head of the next answer, skipping informational (1xx) ones.
func readHead(conn *connection, method string) (*http.Response, error) {
	request := &http.Request{Method: method}
	conn.meter.allow(maxHeadBytes)
	for {
		response, head, err := parseHead(conn, request)
		if err != nil {
			return nil, err
		}
		if err := validateHead(response, head); err != nil {
			return nil, err
		}
		if response.StatusCode >= http.StatusOK {
			return response, nil
		}
	}
}

// parseHead parses the next head and returns its bytes as well.
func parseHead(conn *connection, request *http.Request) (*http.Response, []byte, error) {
	// Peek does not fail for what is buffered.
	buffered, _ := conn.reader.Peek(conn.reader.Buffered())
	head := bytes.NewBuffer(bytes.Clone(buffered))
	conn.meter.record = head
	response, err := http.ReadResponse(conn.reader, request)
	conn.meter.record = nil
	if err != nil {
		return nil, nil, err
	}
	head.Truncate(head.Len() - conn.reader.Buffered())
	return response, head.Bytes(), nil
}

// validateHead returns an error if a head is not one of HTTP/1 or not fit for a call.
func validateHead(response *http.Response, head []byte) error {
	if err := httpresponse.Validate(response); err != nil {
		return err
	}
	switch {
	case response.ProtoMajor != 1:
		return errVersion
	case response.StatusCode == http.StatusSwitchingProtocols:
		return errSwitched
	}
	return validateLines(response, head)
}

// validateLines returns an error for what net/http does not tell of a head: folded fields, which a
// proxy has to refuse or to mend, and two ways to tell the end of the body, of which a reader on the
// way may have followed the other one (RFC 9112, sections 5.2 and 6.1 to 6.3).
func validateLines(response *http.Response, head []byte) error {
	hasLength, hasCoding := false, false
	for line := range bytes.Lines(head) {
		if line[0] == ' ' || line[0] == '\t' {
			return errFolded
		}
		name, _, _ := bytes.Cut(line, []byte(":"))
		hasLength = hasLength || bytes.EqualFold(name, []byte("Content-Length"))
		hasCoding = hasCoding || bytes.EqualFold(name, []byte("Transfer-Encoding"))
	}
	if hasCoding && (hasLength || !response.ProtoAtLeast(1, 1)) {
		return errFraming
	}
	return nil
}
