package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"
)

// textServer answers the first request of each connection with a text and keeps the connection
// open.
type textServer struct{ text string }

func (s textServer) dial(context.Context, string, string) (net.Conn, error) {
	near, far := net.Pipe()
	go func() {
		defer func() { _ = far.Close() }()
		reader := bufio.NewReader(far)
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		if _, err := io.WriteString(far, s.text); err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, reader)
	}()
	return near, nil
}

// callText sends a call to a server that answers with a text.
func callText(t *testing.T, text string) (status int, content string, err error) {
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	client := NewClient(Config{Codec: testCodec{}, Dialer: textServer{text}.dial})
	defer client.Sweep(func(string, string) bool { return false })
	answer, err := client.Do(ctx, &Call{ID: "a", Method: http.MethodGet, Target: "/", Host: "h", Address: "b:1"})
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = answer.Body.Close() }()
	body, err := io.ReadAll(answer.Body)
	return answer.Status, string(body), err
}

const (
	// brokenOK is a status line with the id of the call, soundRest the rest of a whole answer.
	brokenOK  = "HTTP/1.1 200 OK\r\nId: a\r\n"
	soundRest = "Id: a\r\nContent-Length: 4\r\n\r\nbody"
	chunked   = "Transfer-Encoding: chunked\r\n"
	chunks    = "4\r\nbody\r\n0\r\n"
)

// checkBroken checks that texts are no answers of HTTP/1.1, which is found at once and not by the end
// of the call.
func checkBroken(t *testing.T, texts map[string]string) {
	for name, text := range texts {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				began := time.Now()
				status, content, err := callText(t, text)
				if err == nil {
					t.Errorf("got status %d with body %q", status, content)
				}
				if took := time.Since(began); took > 0 {
					t.Errorf("the answer was found broken after %v", took)
				}
			})
		})
	}
}

// TestBrokenStatusIsNoAnswer guards against statuses that are none (RFC 9110, section 15) and that
// callers get, or that are passed over like an informational one.
func TestBrokenStatusIsNoAnswer(t *testing.T) {
	checkBroken(t, map[string]string{
		"status 000":                       "HTTP/1.1 000 OK\r\n" + soundRest,
		"status 000 without a length":      "HTTP/1.1 000 OK\r\nId: a\r\n\r\nbody",
		"status 000 in front of an answer": "HTTP/1.1 000 OK\r\n\r\nHTTP/1.1 200 OK\r\n" + soundRest,
		"status 099 in front of an answer": "HTTP/1.1 099 OK\r\n\r\nHTTP/1.1 200 OK\r\n" + soundRest,
		"status +20 in front of an answer": "HTTP/1.1 +20 OK\r\n\r\nHTTP/1.1 200 OK\r\n" + soundRest,
		"status -01":                       "HTTP/1.1 -01 OK\r\n" + soundRest,
		"status 101 in front of an answer": "HTTP/1.1 101 Switching Protocols\r\n\r\nHTTP/1.1 200 OK\r\n" + soundRest,
		"status 600":                       "HTTP/1.1 600 OK\r\n" + soundRest,
		"status 999":                       "HTTP/1.1 999 OK\r\n" + soundRest,
		"status 2000":                      "HTTP/1.1 2000 OK\r\n" + soundRest,
		"status with a control byte":       "HTTP/1.1 20\x00 OK\r\n" + soundRest,
		"another major version":            "HTTP/2.0 200 OK\r\n" + soundRest,
	})
}

// TestBrokenFieldIsNoAnswer guards against a field that callers get although its name or value is
// none (RFC 9110, section 5), or that was to tell the length of the body.
func TestBrokenFieldIsNoAnswer(t *testing.T) {
	checkBroken(t, map[string]string{
		"blank in a name":                  brokenOK + "Content-Length: 4\r\nMy Field: x\r\n\r\nbody",
		"blank behind a name":              brokenOK + "Content-Length : 4\r\n\r\nbody",
		"blank in Content-Length":          brokenOK + "Content Length: 4\r\n\r\nbody",
		"blank in front of the first name": "HTTP/1.1 200 OK\r\n Id: a\r\n" + soundRest,
		"blank in a name of a 1xx answer":  "HTTP/1.1 102 Processing\r\nMy Field: x\r\n\r\nHTTP/1.1 200 OK\r\n" + soundRest,
		"tab in a name":                    brokenOK + "Content-Length: 4\r\nMy\tField: x\r\n\r\nbody",
		"control byte in a name":           brokenOK + "Content-Length: 4\r\nMy\x01Field: x\r\n\r\nbody",
		"byte 0 in a name":                 brokenOK + "Content-Length: 4\r\nMy\x00Field: x\r\n\r\nbody",
		"byte 127 in a name":               brokenOK + "Content-Length: 4\r\nMy\x7fField: x\r\n\r\nbody",
		"byte above 127 in a name":         brokenOK + "Content-Length: 4\r\nMy\xc3\xa4Field: x\r\n\r\nbody",
		"carriage return in a name":        brokenOK + "Content-Length: 4\r\nMy\rField: x\r\n\r\nbody",
		"empty name":                       brokenOK + "Content-Length: 4\r\n: x\r\n\r\nbody",
		"no colon":                         brokenOK + "Content-Length: 4\r\nField\r\n\r\nbody",
		"byte 0 in a value":                brokenOK + "Content-Length: 4\r\nField: x\x00y\r\n\r\nbody",
		"carriage return in a value":       brokenOK + "Content-Length: 4\r\nField: x\ry\r\n\r\nbody",
	})
}

// TestBrokenTrailerIsNoAnswer is the same for the fields behind a body.
func TestBrokenTrailerIsNoAnswer(t *testing.T) {
	checkBroken(t, map[string]string{
		"blank in a trailer's name":        brokenOK + chunked + "\r\n" + chunks + "My Field: x\r\n\r\n",
		"blank behind a trailer's name":    brokenOK + chunked + "\r\n" + chunks + "Field : x\r\n\r\n",
		"control byte in a trailer's name": brokenOK + chunked + "\r\n" + chunks + "My\x01Field: x\r\n\r\n",
		"byte 0 in a trailer's value":      brokenOK + chunked + "\r\n" + chunks + "Field: x\x00y\r\n\r\n",
	})
}

// TestBrokenFramingIsNoAnswer guards against a body that ends otherwise than its sender meant (RFC
// 9112, sections 6 and 7.1), and against folded fields, which other readers take for two (5.2).
func TestBrokenFramingIsNoAnswer(t *testing.T) {
	checkBroken(t, map[string]string{
		"two lengths":                       brokenOK + "Content-Length: 4\r\nContent-Length: 5\r\n\r\nbody",
		"list of lengths":                   brokenOK + "Content-Length: 4, 4\r\n\r\nbody",
		"length with a sign":                brokenOK + "Content-Length: +4\r\n\r\nbody",
		"empty length":                      brokenOK + "Content-Length:\r\n\r\nbody",
		"folded field":                      brokenOK + "Field: x\r\n y\r\nContent-Length: 4\r\n\r\nbody",
		"folded field, with a tab":          brokenOK + "Field: x\r\n\ty\r\nContent-Length: 4\r\n\r\nbody",
		"folded length":                     brokenOK + "Content-Length:\r\n 4\r\n\r\nbody",
		"line of a blank":                   brokenOK + "Content-Length: 4\r\n \r\n\r\nbody",
		"length and chunks":                 brokenOK + "Content-Length: 4\r\n" + chunked + "\r\n" + chunks + "\r\n",
		"chunks and length":                 brokenOK + chunked + "content-length: 4\r\n\r\n" + chunks + "\r\n",
		"chunks of HTTP/1.0":                "HTTP/1.0 200 OK\r\nId: a\r\nContent-Length: 4\r\n" + chunked + "\r\n" + chunks + "\r\n",
		"chunks of HTTP/1.0, no length":     "HTTP/1.0 200 OK\r\nId: a\r\n" + chunked + "\r\n" + chunks + "\r\n",
		"another coding":                    brokenOK + "Transfer-Encoding: gzip\r\n\r\nbody",
		"chunks twice":                      brokenOK + "Transfer-Encoding: chunked, chunked\r\n\r\n" + chunks + "\r\n",
		"chunk without a size":              brokenOK + chunked + "\r\n\r\nbody\r\n0\r\n\r\n",
		"chunk with a sign":                 brokenOK + chunked + "\r\n+4\r\nbody\r\n0\r\n\r\n",
		"chunk longer than its size":        brokenOK + chunked + "\r\n3\r\nbody\r\n0\r\n\r\n",
		"chunk whose size exceeds a number": brokenOK + chunked + "\r\n10000000000000004\r\nbody\r\n0\r\n\r\n",
	})
}

// TestUnusualAnswerIsAnAnswer is the reverse: answers that are seldom seen and sound.
func TestUnusualAnswerIsAnAnswer(t *testing.T) {
	for name, text := range map[string]string{
		"status 599":                 "HTTP/1.1 599 Odd\r\n" + soundRest,
		"no reason":                  "HTTP/1.1 200 \r\n" + soundRest,
		"HTTP/1.0":                   "HTTP/1.0 200 OK\r\n" + soundRest,
		"informational answers":      "HTTP/1.1 102 Processing\r\nField: x\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\n" + soundRest,
		"all bytes of names":         brokenOK + "!#$%&'*+-.^_`|~09azAZ: x\r\nContent-Length: 4\r\n\r\nbody",
		"empty value":                brokenOK + "Field:\r\nContent-Length: 4\r\n\r\nbody",
		"tab in a value":             brokenOK + "Field:\tx\ty\t\r\nContent-Length: 4\r\n\r\nbody",
		"byte above 127 in a value":  brokenOK + "Field: \xc3\xa4\r\nContent-Length: 4\r\n\r\nbody",
		"the same length twice":      brokenOK + "Content-Length: 4\r\nContent-Length: 4\r\n\r\nbody",
		"lines that end with LF":     "HTTP/1.1 200 OK\nId: a\nContent-Length: 4\n\nbody",
		"chunks":                     brokenOK + chunked + "\r\n" + chunks + "\r\n",
		"chunks with an extension":   brokenOK + chunked + "\r\n4;name=value\r\nbody\r\n0\r\n\r\n",
		"chunks with a trailer":      brokenOK + chunked + "Trailer: Field\r\n\r\n" + chunks + "Field: x\r\n\r\n",
		"trailer without a mention":  brokenOK + chunked + "\r\n" + chunks + "Field: x\r\n\r\n",
		"body like a head":           brokenOK + "Content-Length: 21\r\n\r\nMy Field : x\r\n folded\n",
		"surplus answer in front":    "HTTP/1.1 200 OK\r\nId: b\r\nContent-Length: 2\r\n\r\nno" + brokenOK + "Content-Length: 4\r\n\r\nbody",
		"surplus of chunks in front": "HTTP/1.1 200 OK\r\nId: b\r\n" + chunked + "\r\n2\r\nno\r\n0\r\n\r\n" + brokenOK + "Content-Length: 4\r\n\r\nbody",
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				status, content, err := callText(t, text)
				if err != nil || len(content) < len("body") {
					t.Errorf("got status %d with body %q, %v", status, content, err)
				}
			})
		})
	}
}
