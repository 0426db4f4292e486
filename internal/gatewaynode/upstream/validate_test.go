package upstream

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
)

// valid is a call that has a valid head.
func valid() *Call {
	return &Call{
		ID: "a", Method: http.MethodPost, Target: "/path?query", Host: "host:80", Instance: "i", Tenant: "t", Body: []byte("body"),
		Header: http.Header{"Model": {"m"}, "Two": {"1", "2"}},
	}
}

// TestCallThatIsNoRequestIsNotSent guards against bytes of a caller that a back end takes for a
// second request, or for a field that nobody meant.
func TestCallThatIsNoRequestIsNotSent(t *testing.T) {
	const smuggled = "/x HTTP/1.1\r\nHost: h\r\n\r\nPOST /y"
	client := NewClient(Config{Codec: testCodec{}, Dialer: func(context.Context, string, string) (net.Conn, error) {
		t.Error("a connection was opened")
		return nil, net.ErrClosed
	}})
	for name, change := range map[string]func(c *Call){
		"request in the target":      func(c *Call) { c.Target = smuggled },
		"blank in the target":        func(c *Call) { c.Target = "/a b" },
		"line feed in the target":    func(c *Call) { c.Target = "/a\nb" },
		"control byte in the target": func(c *Call) { c.Target = "/a\x00b" },
		"no target":                  func(c *Call) { c.Target = "" },
		"absolute target":            func(c *Call) { c.Target = "http://h/a" },
		"method":                     func(c *Call) { c.Method = "POST /" },
		"host":                       func(c *Call) { c.Host = "h\r\nField: x" },
		"id":                         func(c *Call) { c.ID = "a\r\nField: x" },
		"tenant":                     func(c *Call) { c.Tenant = "t\r\nField: x" },
		"instance":                   func(c *Call) { c.Instance = "i\nField: x" },
		"value":                      func(c *Call) { c.Header["Model"] = []string{"m\r\nField: x"} },
		"name":                       func(c *Call) { c.Header["Field: x\r\nOther"] = []string{"x"} },
		"blank in a name":            func(c *Call) { c.Header["Content-Length "] = []string{"0"} },
		"length":                     func(c *Call) { c.Header["content-length"] = []string{"0"} },
		"chunks":                     func(c *Call) { c.Header["Transfer-Encoding"] = []string{"chunked"} },
		"second host":                func(c *Call) { c.Header["HOST"] = []string{"other"} },
	} {
		t.Run(name, func(t *testing.T) {
			call := valid()
			call.Address = "b:1"
			change(call)
			_, err := client.Do(t.Context(), call)
			if FateOf(err) != NotSent || !Withheld(err) {
				t.Errorf("Do: %v, want NotSent and withheld", err)
			}
		})
	}
	if err := valid().Validate(); err != nil {
		t.Errorf("a valid call: %v", err)
	}
}

// FuzzCallIsOneRequest checks that the head of a call that Validate accepts is read as one request
// with the target, the host and the fields of the call, and with nothing behind it.
func FuzzCallIsOneRequest(f *testing.F) {
	f.Add("POST", "/path", "h", "a", "Model", "m", "t", []byte("body"))
	f.Add("GET", "/x HTTP/1.1\r\n\r\nGET /y", "h", "a\r\n\r\n", "Content-Length", "0", "t", []byte(nil))
	f.Add("POST", "/\x85\xa0", "h", "a", "Transfer-Encoding", "chunked", "t\x00", []byte("0\r\n\r\n"))
	client := NewClient(Config{Codec: testCodec{}})
	f.Fuzz(func(t *testing.T, method, target, host, id, name, value, tenant string, body []byte) {
		call := &Call{ID: id, Method: method, Target: target, Host: host, Tenant: tenant, Header: http.Header{name: {value}}, Body: body}
		if call.Validate() != nil {
			return
		}
		reader := bufio.NewReader(bytes.NewReader(append(client.head(call), body...)))
		request, err := http.ReadRequest(reader)
		if err != nil {
			// net/http refuses more than what is at stake here: the other end has no request.
			return
		}
		content, err := io.ReadAll(request.Body)
		if err != nil || !bytes.Equal(content, body) || request.RequestURI != target || request.Method != method || request.Host != host {
			t.Errorf("read %s %q, host %q, body %q, %v", request.Method, request.RequestURI, request.Host, content, err)
		}
		for read := range request.Header {
			if expected := []string{"Id", "Content-Length", http.CanonicalHeaderKey(name)}; !slices.Contains(expected, read) {
				t.Errorf("field %q was read", read)
			}
		}
		if got := request.Header.Get("Id"); name != "Id" && got != strings.Trim(id, " \t") {
			t.Errorf("id %q was read as %q", id, got)
		}
		if _, err := reader.ReadByte(); !errors.Is(err, io.EOF) {
			t.Error("bytes are left behind the request")
		}
	})
}
