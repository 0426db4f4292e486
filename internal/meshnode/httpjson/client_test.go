package httpjson

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/dghubble/sling"

	"github.com/sliplift/sliplift/internal/api"
)

type answerFunc func() *http.Response

func (f answerFunc) RoundTrip(*http.Request) (*http.Response, error) { return f(), nil }

// TestFetch tells a whole answer from one that does not fit, and the server's
// own word from a status without one.
func TestFetch(t *testing.T) {
	const limit = 4
	cases := []struct {
		status int
		field  string
		body   string
		// code is that of the server's word, tagged says that there was none.
		code   api.Code
		tagged bool
	}{
		{status: 200, body: "1234"},
		{status: 200, body: "12345", tagged: true},
		{status: 409, body: `{"code":"condition_failed"}`, code: api.CodeConditionFailed},
		{status: 503, body: `{"reason":"none of ours"}`, tagged: true},
		{status: 307, tagged: true},
		{status: 0, body: "1234", tagged: true},
		{status: 99, body: "1234", tagged: true},
		{status: 199, body: "1234", tagged: true},
		{status: 600, body: `{"code":"condition_failed"}`, tagged: true},
		{status: 200, field: "Content-Length ", body: "1234", tagged: true},
		{status: 409, field: "My Field", body: `{"code":"condition_failed"}`, tagged: true},
	}
	for _, c := range cases {
		client := &http.Client{Transport: answerFunc(func() *http.Response {
			header := http.Header{}
			if c.field != "" {
				header[c.field] = []string{"4"}
			}
			return &http.Response{StatusCode: c.status, Header: header, Body: io.NopCloser(strings.NewReader(c.body))}
		})}
		content, err := Fetch(t.Context(), client, sling.New().Get("http://s"), limit)
		var word *api.Error
		if errors.As(err, &word) && (word.Code != c.code || word.Status != c.status) || word == nil && c.code != "" {
			t.Errorf("%d %s: the server's word is %v", c.status, c.body, err)
		}
		if errors.Is(err, ErrNoAnswer) != c.tagged || err == nil && string(content) != c.body {
			t.Errorf("%d %s: content %q, error %v", c.status, c.body, content, err)
		}
	}
}
