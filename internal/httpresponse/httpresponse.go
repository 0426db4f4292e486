// Package httpresponse checks responses that net/http has parsed: it accepts some that are not
// valid in HTTP (RFC 9110). A caller that got one of these would get what its sender never meant.
package httpresponse

import (
	"fmt"
	"net/http"

	"golang.org/x/net/http/httpguts"
)

// The range of valid status codes (RFC 9110, section 15).
const (
	minStatus = 100
	maxStatus = 599
)

// Validate returns an error if the head of a response is not valid.
func Validate(response *http.Response) error {
	if response.StatusCode < minStatus || response.StatusCode > maxStatus {
		return fmt.Errorf("status %q is out of range", response.Status)
	}
	return ValidateFields(response.Header)
}

// ValidateFields returns an error if a field of a header or a trailer has a name that is not valid
// (RFC 9110, section 5.1). net/http keeps names with blanks as they are, so that the field they were
// meant for seems to be missing; it checks values itself.
func ValidateFields(fields http.Header) error {
	for name := range fields {
		if !httpguts.ValidHeaderFieldName(name) {
			return fmt.Errorf("field name %q is not a token", name)
		}
	}
	return nil
}

// EndsWithConnection reports whether the body of a response has neither a length nor chunks, so that
// only the end of the connection ends it (RFC 9112, section 6.3).
func EndsWithConnection(response *http.Response) bool {
	return response.Body != http.NoBody && response.ContentLength < 0 && len(response.TransferEncoding) == 0
}
