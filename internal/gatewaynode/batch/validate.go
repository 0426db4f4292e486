package batch

import (
	"fmt"
	"net/http"

	"github.com/sliplift/sliplift/internal/gatewaynode/upstream"
)

// Validate returns an error that names an item whose requests would not be valid. Nothing of such a
// job may be accepted.
func (s *Spec) Validate() error {
	for i := range s.Items {
		if err := s.validateItem(i); err != nil {
			return fmt.Errorf("item %q: %w", s.Items[i].ID, err)
		}
	}
	return nil
}

// validateItem returns an error if the request of an item or of its scorer would not be valid.
func (s *Spec) validateItem(index int) error {
	item := &s.Items[index]
	if err := item.request(s.Host).Validate(); err != nil {
		return err
	}
	if item.Scorer == nil {
		return nil
	}
	if err := item.Scorer.request().Validate(); err != nil {
		return fmt.Errorf("scorer: %w", err)
	}
	return nil
}

// request returns the call of an item without what a run adds to it.
func (i *Item) request(host string) *upstream.Call {
	header := make(http.Header, len(i.Header))
	for name, value := range i.Header {
		header.Set(name, value)
	}
	return &upstream.Call{ID: i.ID, Method: http.MethodPost, Target: i.Path, Host: host, Header: header, Body: i.Body, Purpose: upstream.PurposeItem}
}

// request returns the call of a scorer without what a send adds to it.
func (s *Scorer) request() *upstream.Call {
	return &upstream.Call{ID: s.ID, Method: http.MethodPost, Target: s.Path, Host: s.Host, Body: s.Body, Purpose: upstream.PurposeScore}
}
