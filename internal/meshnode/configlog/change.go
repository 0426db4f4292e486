package configlog

import (
	"github.com/google/uuid"
)

// Change is one operator's or trainer's wish to alter the configuration.
type Change struct {
	// ID is a UUID chosen by the submitter. Submitting the same ID again asks
	// for the fate of the first submission and never applies the change twice.
	ID string `json:"id"`
	// Author names who submitted the change, for logs and messages.
	Author string `json:"author,omitempty"`
	// IfRevision is the revision that the change was meant for; the change is a
	// conflict on any other. Zero means any revision.
	IfRevision int64     `json:"if_revision,omitempty"`
	Operation  Operation `json:"operation"`
}

// NewChange returns a change with a fresh id.
func NewChange(author string, operation Operation) Change {
	return Change{ID: uuid.NewString(), Author: author, Operation: operation}
}

// Operation is a union: exactly one field is set.
type Operation struct {
	CreatePool      *CreatePool      `json:"create_pool,omitempty"`
	AlterPool       *AlterPool       `json:"alter_pool,omitempty"`
	DropPool        *DropPool        `json:"drop_pool,omitempty"`
	SetSetting      *SetSetting      `json:"set_setting,omitempty"`
	AddDrain        *AddDrain        `json:"add_drain,omitempty"`
	RemoveDrain     *RemoveDrain     `json:"remove_drain,omitempty"`
	PublishVersion  *PublishVersion  `json:"publish_version,omitempty"`
	PinVersion      *PinVersion      `json:"pin_version,omitempty"`
	UnpinVersion    *UnpinVersion    `json:"unpin_version,omitempty"`
	SetClaimMembers *SetClaimMembers `json:"set_claim_members,omitempty"`
}

// CreatePool adds a pool. Model defaults to the pool's name where Kind is
// PoolEngines.
type CreatePool struct {
	Pool Pool `json:"pool"`
}

// AlterPool changes the fields that are set. Back ends are dropped before
// others are added, so that one change can replace an address.
type AlterPool struct {
	Pool            string    `json:"pool"`
	Model           *string   `json:"model,omitempty"`
	VersionBound    *int64    `json:"version_bound,omitempty"`
	MaxInFlight     *int      `json:"max_in_flight,omitempty"`
	DefaultPriority *int      `json:"default_priority,omitempty"`
	IdleWeight      *float64  `json:"idle_weight,omitempty"`
	DropBackends    []string  `json:"drop_backends,omitempty"`
	AddBackends     []Backend `json:"add_backends,omitempty"`
}

// DropPool removes a pool. Drains of its back ends stay until they are removed.
type DropPool struct {
	Pool string `json:"pool"`
}

// SetSetting sets a cluster-wide setting; an empty value removes it.
type SetSetting struct {
	Name  string `json:"name"`
	Value string `json:"value"`
}

// AddDrain begins a standing drain order.
type AddDrain struct {
	Scope DrainScope `json:"scope"`
	Name  string     `json:"name"`
}

// RemoveDrain ends a standing drain order.
type RemoveDrain struct {
	Scope DrainScope `json:"scope"`
	Name  string     `json:"name"`
}

// PublishVersion announces a weight version, which must be higher than the
// pool's last.
type PublishVersion struct {
	Pool    string `json:"pool"`
	Version int64  `json:"version"`
}

// PinVersion holds a pool at a version that was published before.
type PinVersion struct {
	Pool    string `json:"pool"`
	Version int64  `json:"version"`
}

// UnpinVersion lets a pool follow the published versions again.
type UnpinVersion struct {
	Pool string `json:"pool"`
}
