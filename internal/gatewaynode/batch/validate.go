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
	if err := upstream.ValidateRequest(http.MethodPost, item.Path, s.Host, item.ID, item.header()); err != nil {
		return err
	}
	if item.Scorer == nil {
		return nil
	}
	if err := upstream.ValidateRequest(http.MethodPost, item.Scorer.Path, item.Scorer.Host, item.Scorer.ID, nil); err != nil {
		return fmt.Errorf("scorer: %w", err)
	}
	return nil
}

// header returns the item's own fields.
func (i *Item) header() http.Header {
	header := make(http.Header, len(i.Header))
	for name, value := range i.Header {
		header.Set(name, value)
	}
	return header
}
