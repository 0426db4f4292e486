package configlog

import "fmt"

// action returns the member of the union that is set.
func (o Operation) action() (action, error) {
	var found action
	count := 0
	for _, candidate := range o.candidates() {
		if candidate.set {
			found = candidate.action
			count++
		}
	}
	if count != 1 {
		return nil, ErrInvalid.Errorf("the change has %d operations, not one", count)
	}
	return found, nil
}

type candidate struct {
	set    bool
	action action
}

func (o Operation) candidates() []candidate {
	return []candidate{
		{o.CreatePool != nil, o.CreatePool},
		{o.AlterPool != nil, o.AlterPool},
		{o.DropPool != nil, o.DropPool},
		{o.SetSetting != nil, o.SetSetting},
		{o.AddDrain != nil, o.AddDrain},
		{o.RemoveDrain != nil, o.RemoveDrain},
		{o.PublishVersion != nil, o.PublishVersion},
		{o.PinVersion != nil, o.PinVersion},
		{o.UnpinVersion != nil, o.UnpinVersion},
		{o.SetClaimMembers != nil, o.SetClaimMembers},
	}
}

// String describes the operation in a few words, for operators.
func (o Operation) String() string {
	action, err := o.action()
	if err != nil {
		return "no operation"
	}
	return action.describe()
}

func (c *CreatePool) describe() string  { return "create pool " + c.Pool.Name }
func (a *AlterPool) describe() string   { return "alter pool " + a.Pool }
func (d *DropPool) describe() string    { return "drop pool " + d.Pool }
func (s *SetSetting) describe() string  { return fmt.Sprintf("set %s = %q", s.Name, s.Value) }
func (a *AddDrain) describe() string    { return fmt.Sprintf("drain %s %s", a.Scope, a.Name) }
func (r *RemoveDrain) describe() string { return fmt.Sprintf("resume %s %s", r.Scope, r.Name) }
func (p *PublishVersion) describe() string {
	return fmt.Sprintf("publish version %d of pool %s", p.Version, p.Pool)
}
func (p *PinVersion) describe() string {
	return fmt.Sprintf("pin pool %s to version %d", p.Pool, p.Version)
}
func (u *UnpinVersion) describe() string { return "unpin pool " + u.Pool }
