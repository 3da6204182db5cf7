package forms

import (
	"fmt"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cornelwing/cornelwing/internal/strict"
	"github.com/cornelwing/cornelwing/pkg/config"
)

// Kinds of entities that have a form.
const (
	kindPipeline  = "pipelines"
	kindPool      = "pools"
	kindAccount   = "accounts"
	kindObjective = "objective"
)

// Field is one input of a form, with the faults of its value.
type Field struct {
	Name  string
	Label string
	Value string
	Hint  string
	// Type is the kind of input: text (one line), area (several lines) or check (a checkbox).
	Type   string
	Faults []string
}

// textField returns a Field of type text; textAreaField and checkboxField below return the types area and check.
func textField(name, label, value, hint string) Field {
	return Field{
		Name:  name,
		Label: label,
		Value: value,
		Hint:  hint,
		Type:  "text",
	}
}

func textAreaField(name, label, value, hint string) Field {
	f := textField(name, label, value, hint)
	f.Type = "area"
	return f
}

func checkboxField(name, label string, on bool, hint string) Field {
	f := textField(name, label, "", hint)
	f.Type = "check"
	if on {
		f.Value = "on"
	}
	return f
}

// entityFields returns the form fields of the named entity, with empty values if the document has no such entity.
func entityFields(d config.Document, kind, name string) []Field {
	switch kind {
	case kindPipeline:
		p, _ := d.Pipeline(name)
		return pipelineFields(p)
	case kindPool:
		p, _ := d.Pool(name)
		return poolFields(p)
	case kindAccount:
		i := slices.IndexFunc(d.Accounts, func(a config.Account) bool { return a.Name == name })
		if i < 0 {
			return accountFields(config.Account{Weight: 1})
		}
		return accountFields(d.Accounts[i])
	default:
		return []Field{
			textField("attainment", "Attainment", fmt.Sprint(d.Objective.Attainment), "share of requests answered whole in time, above 0 and below 1"),
		}
	}
}

func pipelineFields(p config.Pipeline) []Field {
	lines := make([]string, 0, len(p.Stages))
	for _, s := range p.Stages {
		lines = append(lines, fmt.Sprintf("%s %s %t %s", s.Name, s.Pool, s.Idempotent, s.Expected))
	}
	return []Field{
		textField("name", "Name", p.Name, "a-z, 0-9, '.', '_', '-'"),
		textField("deadline", "Deadline", p.Deadline.String(), "with its unit, for instance 8s"),
		checkboxField("idempotent", "Idempotent", p.Idempotent, "a request may run more than once"),
		textField("max_tokens", "Longest answer", strconv.Itoa(p.MaxTokens), "tokens; 0 leaves it to the engine"),
		textAreaField("stages", "Stages", strings.Join(lines, "\n"), "one a line: name, pool, true if it may repeat, expected time"),
	}
}

func poolFields(p config.Pool) []Field {
	w := config.Wanted{}
	if p.Wanted != nil {
		w = *p.Wanted
	}
	return []Field{
		textField("name", "Name", p.Name, "a-z, 0-9, '.', '_', '-'"),
		textField("kind", "Kind", string(p.Kind), "engine, worker or service"),
		textField("slots", "Slots", strconv.Itoa(p.Slots), "requests that one upstream works on at a time"),
		textField("cost_per_second", "Cost", fmt.Sprint(p.CostPerSecond), "of one busy slot, a second"),
		textField("silence", "Silence", p.Silence.String(), "longest time without progress, for instance 1s"),
		checkboxField("checks_fencing", "Checks fencing", p.ChecksFencing, "its engines refuse orders with an old fencing number"),
		textField("model", "Wanted model", w.Model, "empty leaves the engines as they are"),
		textField("version", "Wanted version", w.Version, ""),
		textField("adapters", "Wanted adapters", strings.Join(w.Adapters, " "), "names with spaces between"),
		textField("role", "Wanted role", w.Role, ""),
		textField("roll_share", "Share that may load at once", fmt.Sprint(w.RollShare), "of the live engines, above 0 and at most 1"),
		textField("max_loads", "Most loads at once", strconv.Itoa(w.MaxLoads), "bounded by the weight store"),
	}
}

func accountFields(a config.Account) []Field {
	return []Field{
		textField("name", "Name", a.Name, "a-z, 0-9, '.', '_', '-'"),
		textField("key_sha256", "Key", a.KeySHA256, "from: cornelwing token TOKEN"),
		textField("weight", "Weight", strconv.Itoa(a.Weight), "share against the other accounts, 1 to 1000"),
		textField("rate_per_second", "Rate", fmt.Sprint(a.RatePerSecond), "requests a second over all hosts"),
	}
}

// formReader parses typed values from a posted form and records the faults of each field by its name.
type formReader struct {
	form   url.Values
	faults map[string][]string
}

func (r *formReader) addFault(name, format string, args ...any) {
	r.faults[name] = append(r.faults[name], fmt.Sprintf(format, args...))
}

func (r *formReader) text(name string) string {
	return strings.TrimSpace(r.form.Get(name))
}

func (r *formReader) integer(name string) int {
	n, err := strconv.Atoi(r.text(name))
	if err != nil {
		r.addFault(name, "%q is not a whole number", r.text(name))
	}
	return n
}

func (r *formReader) float(name string) float64 {
	x, err := strconv.ParseFloat(r.text(name), 64)
	if err != nil {
		r.addFault(name, "%q is not a number", r.text(name))
	}
	return x
}

func (r *formReader) duration(name, value string) config.Span {
	d, err := time.ParseDuration(value)
	if err != nil {
		r.addFault(name, "%q is not a duration with a unit", value)
	}
	return config.Span(d)
}

// withEntity returns the document with the posted entity added or replaced, and the path under which the document's faults list that entity.
func (r *formReader) withEntity(d config.Document, kind string) (config.Document, string) {
	name := r.text("name")
	switch kind {
	case kindPipeline:
		d = d.WithPipeline(r.parsePipeline())
		return d, fmt.Sprintf("pipelines[%d]", slices.IndexFunc(d.Pipelines, func(p config.Pipeline) bool { return p.Name == name }))
	case kindPool:
		d = d.WithPool(r.parsePool())
		return d, fmt.Sprintf("pools[%d]", slices.IndexFunc(d.Pools, func(p config.Pool) bool { return p.Name == name }))
	case kindAccount:
		d = d.WithAccount(config.Account{
			Name:          name,
			KeySHA256:     r.text("key_sha256"),
			Weight:        r.integer("weight"),
			RatePerSecond: r.float("rate_per_second"),
		})
		return d, fmt.Sprintf("accounts[%d]", slices.IndexFunc(d.Accounts, func(a config.Account) bool { return a.Name == name }))
	default:
		d.Objective = config.Objective{
			Attainment: r.float("attainment"),
		}
		return d, "objective"
	}
}

func (r *formReader) parsePipeline() config.Pipeline {
	p := config.Pipeline{
		Name:       r.text("name"),
		Deadline:   r.duration("deadline", r.text("deadline")),
		Idempotent: r.text("idempotent") != "",
		MaxTokens:  r.integer("max_tokens"),
	}
	for i, line := range strings.Split(strings.ReplaceAll(r.text("stages"), "\r", ""), "\n") {
		parts := strings.Fields(line)
		if len(parts) != 4 {
			r.addFault("stages", "line %d: four words are needed, not %d", i+1, len(parts))
			continue
		}
		p.Stages = append(p.Stages, config.Stage{
			Name:       parts[0],
			Pool:       parts[1],
			Idempotent: parts[2] == "true",
			Expected:   r.duration("stages", parts[3]),
		})
	}
	return p
}

func (r *formReader) parsePool() config.Pool {
	p := config.Pool{
		Name:          r.text("name"),
		Kind:          config.Kind(r.text("kind")),
		Slots:         r.integer("slots"),
		CostPerSecond: r.float("cost_per_second"),
		Silence:       r.duration("silence", r.text("silence")),
		ChecksFencing: r.text("checks_fencing") != "",
	}
	if r.text("model") == "" {
		return p
	}
	return p.WithWanted(config.Wanted{
		Model:     r.text("model"),
		Version:   r.text("version"),
		Adapters:  strings.Fields(r.text("adapters")),
		Role:      r.text("role"),
		RollShare: r.float("roll_share"),
		MaxLoads:  r.integer("max_loads"),
	})
}

// assignFaults adds the faults of the entity at the path to its fields, and returns the faults that belong to no field.
func (r *formReader) assignFaults(faults []strict.Fault, entityPath string) []string {
	var rest []string
	for _, f := range faults {
		path, ok := strings.CutPrefix(f.Path, entityPath+".")
		if !ok {
			rest = append(rest, f.String())
			continue
		}
		path = strings.TrimPrefix(path, "wanted.")
		name, detail, _ := strings.Cut(path, "[")
		reason := f.Reason
		if detail != "" {
			reason = "[" + detail + ": " + reason
		}
		r.faults[name] = append(r.faults[name], reason)
	}
	return rest
}

// fields returns the form fields with the posted values and their faults.
func (r *formReader) fields(kind string) []Field {
	out := entityFields(config.Document{}, kind, "")
	for i, f := range out {
		out[i].Value = r.form.Get(f.Name)
		out[i].Faults = r.faults[f.Name]
	}
	return out
}
