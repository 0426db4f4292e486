package rowstore

import "context"

// progressKey is the key of the function in a context that is told of progress.
type progressKey struct{}

// WithProgress returns a context for calls during whose answers note is called, whenever
// more of the answer has arrived. A function that the context has already is called as well.
//
// Large answers take long where many nodes read at once. A layer that judges a store or a
// connection by how long a call takes has to know that its answer is arriving.
func WithProgress(ctx context.Context, note func()) context.Context {
	outer, _ := ctx.Value(progressKey{}).(func())
	if outer == nil {
		return context.WithValue(ctx, progressKey{}, note)
	}
	return context.WithValue(ctx, progressKey{}, func() {
		note()
		outer()
	})
}

// NoteProgress tells those who wait for the answer to a call that more of it has arrived.
func NoteProgress(ctx context.Context) {
	if note, _ := ctx.Value(progressKey{}).(func()); note != nil {
		note()
	}
}
