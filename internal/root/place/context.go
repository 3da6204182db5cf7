package place

import "context"

type regionsKey struct{}

// WithRegions returns a context for calls that belong to a request for the regions.
func WithRegions(ctx context.Context, r Regions) context.Context {
	if !r.Bound() {
		return ctx
	}
	return context.WithValue(ctx, regionsKey{}, r)
}

// RegionsOf returns the regions of the request to which the context belongs.
func RegionsOf(ctx context.Context) Regions {
	r, _ := ctx.Value(regionsKey{}).(Regions)
	return r
}
