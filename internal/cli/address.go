package cli

import (
	"net/netip"

	"github.com/zeebo/errs/v2"
)

// address is a flag that holds IP:PORT. Host names are refused, as in settings.
type address string

// UnmarshalFlag implements flags.Unmarshaler.
func (a *address) UnmarshalFlag(text string) error {
	if _, err := netip.ParseAddrPort(text); err != nil {
		return errs.Errorf("must be IP:PORT, as 127.0.0.1:7001")
	}
	*a = address(text)
	return nil
}
