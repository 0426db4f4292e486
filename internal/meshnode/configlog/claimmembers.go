package configlog

import "fmt"

// maxClaimMembers bounds a list of claim members.
const maxClaimMembers = 4096

// ClaimMember is a node that may be a replica of idempotency keys.
type ClaimMember struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
}

// ClaimMembers is the list that replica groups are chosen from, and the former
// lists whose groups may still hold valid grants. The list is part of the
// configuration so that all nodes choose the same group for a key.
type ClaimMembers struct {
	// Revision is the configuration revision that set the list; zero while
	// there is none.
	Revision int64           `json:"revision,omitempty"`
	Current  []ClaimMember   `json:"current,omitempty"`
	Former   [][]ClaimMember `json:"former,omitempty"`
}

// SetClaimMembers replaces the list. Whoever submits it keeps the list that it
// replaces in Former until every grant of its groups has expired.
type SetClaimMembers struct {
	Current []ClaimMember   `json:"current"`
	Former  [][]ClaimMember `json:"former,omitempty"`
}

func (s *SetClaimMembers) describe() string {
	return fmt.Sprintf("set %d claim members", len(s.Current))
}

func (s *SetClaimMembers) apply(next *State) error {
	if len(s.Current) == 0 || len(s.Current) > maxClaimMembers {
		return ErrInvalid.Errorf("%d claim members, allowed are 1 to %d", len(s.Current), maxClaimMembers)
	}
	seen := map[string]bool{}
	for _, member := range s.Current {
		if !namePattern.MatchString(member.Name) || seen[member.Name] {
			return ErrInvalid.Errorf("claim member %q is not a name or is named twice", member.Name)
		}
		seen[member.Name] = true
	}
	next.Claims = ClaimMembers{Revision: next.Revision, Current: s.Current, Former: s.Former}
	return nil
}
