package upstream

import (
	"fmt"
	"net/http"
	"net/textproto"
	"strings"

	"golang.org/x/net/http/httpguts"
)

// framingFields are set by the Client itself: a second one would tell a reader on the way another
// end of the request, or another receiver (RFC 9112, sections 3.2 and 6.3).
var framingFields = map[string]bool{"Content-Length": true, "Transfer-Encoding": true, "Host": true}

// Validate returns an error if the head of the call would not be that of one valid request, see
// ValidateRequest. Do refuses such a call.
func (c *Call) Validate() error {
	for _, field := range [...]struct{ name, value string }{{"instance", c.Instance}, {"tenant", c.Tenant}} {
		if !httpguts.ValidHeaderFieldValue(field.value) {
			return fmt.Errorf("%s %q is not a field value", field.name, field.value)
		}
	}
	return ValidateRequest(c.Method, c.Target, c.Host, c.ID, c.Header)
}

// ValidateRequest returns an error if what a caller gives of a request would not make the head of one
// valid request of HTTP/1.1: bytes of a target or a field could begin a request that nobody made.
// Whoever accepts requests for later checks them first, to refuse them at once.
func ValidateRequest(method, target, host, id string, header http.Header) error {
	if !httpguts.ValidHeaderFieldName(method) {
		return fmt.Errorf("method %q is not a token", method)
	}
	if err := validateTarget(target); err != nil {
		return err
	}
	if !httpguts.ValidHostHeader(host) {
		return fmt.Errorf("host %q is not valid", host)
	}
	if !httpguts.ValidHeaderFieldValue(id) {
		return fmt.Errorf("id %q is not a field value", id)
	}
	return validateHeader(header)
}

// validateTarget returns an error unless a request target has the origin form (RFC 9112, section
// 3.2.1) and holds no byte that ends it. Other bytes that have to be escaped are passed on as they are.
func validateTarget(target string) error {
	if !strings.HasPrefix(target, "/") {
		return fmt.Errorf("target %q does not begin with a slash", target)
	}
	if i := strings.IndexFunc(target, func(r rune) bool { return r <= ' ' || r == 0x7f }); i >= 0 {
		return fmt.Errorf("target %q holds the byte %#02x", target, target[i])
	}
	return nil
}

func validateHeader(header http.Header) error {
	for name, values := range header {
		if !httpguts.ValidHeaderFieldName(name) {
			return fmt.Errorf("field name %q is not a token", name)
		}
		if framingFields[textproto.CanonicalMIMEHeaderKey(name)] {
			return fmt.Errorf("field %q is not for callers to set", name)
		}
		for _, value := range values {
			if !httpguts.ValidHeaderFieldValue(value) {
				return fmt.Errorf("value %q of field %q is not valid", value, name)
			}
		}
	}
	return nil
}
