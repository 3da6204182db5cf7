package soak

// route is a route of the operator's configuration.
type route struct {
	Name      string  `json:"name"`
	Host      string  `json:"host"`
	Prefix    string  `json:"prefix"`
	Type      string  `json:"route_type"`
	TimeoutMS int     `json:"timeout_ms"`
	SLO       int     `json:"slo_ms"`
	Priority  int     `json:"priority"`
	Service   string  `json:"service"`
	Attempts  int     `json:"max_attempts"`
	Resumable bool    `json:"resumable"`
	Sticky    bool    `json:"sticky"`
	Stages    []stage `json:"stages,omitempty"`
}

// stage is a stage of a route.
type stage struct {
	Service string `json:"service"`
	After   []int  `json:"after"`
	Bytes   int    `json:"bytes"`
}

// streamed reports whether responses of the route are streams.
func (r route) streamed() bool {
	return r.Type == "streaming"
}

// runsOnce reports whether an attempt of a client may run once at most.
func (r route) runsOnce() bool {
	return r.Type == "non_idempotent" || (r.streamed() && !r.Resumable)
}

// routes are the routes of the run. Each has a kind of its own.
var routes = []route{
	newRoute("safe", "idempotent", "plain"),
	newRoute("once", "non_idempotent", "plain"),
	newRoute("stream", "streaming", "engine"),
	resumedRoute,
	newStagedRoute("staged"),
}

// resumedRoute is the route whose streams clients take up.
var resumedRoute = newResumableRoute("resumed")

func newRoute(name, kind, service string) route {
	return route{
		Name:      name,
		Host:      "h.example",
		Prefix:    "/" + name + "/",
		Type:      kind,
		TimeoutMS: 3000,
		SLO:       500,
		Service:   service,
		Attempts:  3,
	}
}

func newResumableRoute(name string) route {
	r := newRoute(name, "streaming", "engine")
	r.Resumable = true
	r.Sticky = true
	return r
}

func newStagedRoute(name string) route {
	r := newRoute(name, "streaming", "engine")
	r.Stages = []stage{
		{Service: "worker", After: []int{}, Bytes: 1000},
		{Service: "worker", After: []int{0}, Bytes: 1000},
	}
	return r
}
