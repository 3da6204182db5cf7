package follow

import "context"

// progressKey is the key of the function in a context that learns of progress.
type progressKey struct{}

// WithProgress returns a context in which onProgress is called for each part of an answer of a source that has arrived.
func WithProgress(ctx context.Context, onProgress func()) context.Context {
	return context.WithValue(ctx, progressKey{}, onProgress)
}

// ProgressOf returns the function of the context that is to be called for each part, which does nothing if there is none.
func ProgressOf(ctx context.Context) func() {
	if f, ok := ctx.Value(progressKey{}).(func()); ok {
		return f
	}
	return func() {}
}
