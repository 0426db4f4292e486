package settings

import (
	"fmt"
	"net/netip"
	"strings"

	"github.com/zeebo/errs/v2"
)

// Seed is a node to begin with: NAME=IP:PORT of its peer address.
type Seed struct {
	Name    string
	Address string
}

// String returns the seed as it stands in the settings.
func (s Seed) String() string { return s.Name + "=" + s.Address }

// UnmarshalFlag implements flags.Unmarshaler.
func (s *Seed) UnmarshalFlag(text string) error {
	name, address, _ := strings.Cut(text, "=")
	if !namePattern.MatchString(name) {
		return errs.Errorf("must be NAME=IP:PORT, and NAME must be %s", nameAllowed)
	}
	if allowed := addressViolation(address, false); allowed != "" {
		return errs.Errorf("must be NAME=IP:PORT, and IP:PORT %s", allowed)
	}
	*s = Seed{Name: name, Address: address}
	return nil
}

type keyedAddress struct{ key, address string }

// distinctAddresses refuses two listeners on one address. Port 0 stands for
// any free port and cannot clash.
func distinctAddresses(addresses []keyedAddress) Faults {
	var faults Faults
	owner := map[string]string{}
	for _, entry := range addresses {
		if entry.address == "" || strings.HasSuffix(entry.address, ":0") {
			continue
		}
		if other, taken := owner[entry.address]; taken {
			allowed := fmt.Sprintf("must differ from %s", other)
			faults = append(faults, Fault{Key: entry.key, Value: entry.address, Allowed: allowed})
			continue
		}
		owner[entry.address] = entry.key
	}
	return faults
}

// unreachable refuses an advertised address that no other process can call, as
// 0.0.0.0 is.
func unreachable(key, address string) Faults {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil || !parsed.Addr().IsUnspecified() {
		return nil
	}
	return Faults{{Key: key, Value: address, Allowed: "must be set where the node listens on all addresses"}}
}
