package rowstore

import (
	"context"

	"github.com/sliplift/sliplift/internal/gatewaynode/place"
)

// withinKey is the key of the regions in a context.
type withinKey struct{}

// Within returns a context for calls whose rows may be seen in regions alone: a Store
// that makes a call by way of another process keeps to them. The store itself and the
// process that calls are not bound by them.
//
// It is a value of the context since every layer of a Store hands the context of a call
// on and none but the last has to know of regions. A call whose context does not say is
// taken to be bound as closely as can be wherever that matters, so that one that forgets
// costs a way and shows nothing to anybody.
func Within(ctx context.Context, regions place.Regions) context.Context {
	return context.WithValue(ctx, withinKey{}, regions)
}

// BoundTo returns the regions that the context of a call names, and whether it names any.
func BoundTo(ctx context.Context) (place.Regions, bool) {
	regions, told := ctx.Value(withinKey{}).(place.Regions)
	return regions, told
}
