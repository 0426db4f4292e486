package machinewatch

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/sliplift/sliplift/internal/api"
)

// View is what one reading of the machine list says. It is never changed once
// made; it may be shared.
type View struct {
	// AsOfMS is the moment as of which the list was true, in Unix milliseconds of
	// the platform's clock; zero while no list is known.
	AsOfMS int64 `json:"as_of_unix_ms"`
	// Reader names the node that read the list.
	Reader string `json:"reader"`
	// Leaving holds the names that were leaving, sorted and without repetition.
	Leaving []string `json:"leaving"`
}

// NewView returns what the list says, as read by the node named.
func NewView(list api.MachineList, reader string) View {
	view := View{AsOfMS: list.AsOfMS, Reader: reader}
	for _, machine := range list.Machines {
		if machine.State == api.MachineLeaving {
			view.Leaving = append(view.Leaving, machine.Name)
		}
	}
	slices.Sort(view.Leaving)
	view.Leaving = slices.Compact(view.Leaving)
	return view
}

// Merge returns the newer of two Views, and whether other names are leaving than
// in current. Of two lists as of the same moment all nodes keep the same one.
func Merge(current, heard View) (merged View, changed bool) {
	if !heard.newerThan(current) {
		return current, false
	}
	return heard, !slices.Equal(current.Leaving, heard.Leaving)
}

func (v View) newerThan(other View) bool {
	if v.AsOfMS != other.AsOfMS {
		return v.AsOfMS > other.AsOfMS
	}
	return v.Hash() > other.Hash()
}

// Hash returns a hash of the names, by which two nodes compare their Views.
func (v View) Hash() uint64 { return xxhash.Sum64String(strings.Join(v.Leaving, "\x00")) }

// brief returns the View without its names.
func (v View) brief() Brief { return Brief{AsOfMS: v.AsOfMS, Reader: v.Reader, Hash: v.Hash()} }

// asOf returns the View with the moment of another one that has the same names.
func (v View) asOf(same Brief) View {
	return View{AsOfMS: same.AsOfMS, Reader: same.Reader, Leaving: v.Leaving}
}

// set returns the names for look-up.
func (v View) set() map[string]bool {
	names := make(map[string]bool, len(v.Leaving))
	for _, name := range v.Leaving {
		names[name] = true
	}
	return names
}
