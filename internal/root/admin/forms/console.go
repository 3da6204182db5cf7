package forms

import (
	"bytes"
	"context"
	"embed"
	"fmt"
	"html/template"
	"net/http"
	"net/url"
	"strconv"

	"github.com/pkg/errors"

	"github.com/cornelwing/cornelwing/internal/common"
	"github.com/cornelwing/cornelwing/internal/root/watch"
	"github.com/cornelwing/cornelwing/internal/setup"
	"github.com/cornelwing/cornelwing/pkg/config"
)

//go:embed pages/*.html
var pageFiles embed.FS

const (
	maxForm    = 1 << 20
	maxHistory = 50
)

// Revisions keeps the revisions.
type Revisions interface {
	Newest(ctx context.Context) (config.Revision, error)
	Revision(ctx context.Context, number int64) (config.Revision, error)
	History(ctx context.Context, limit int) ([]config.Revision, error)
	Apply(ctx context.Context, c watch.Change) (config.Revision, error)
}

// Console serves the forms.
type Console struct {
	common.Deps
	sessions  Sessions
	revisions Revisions
	status    func() any
	report    func() any
	offer     func(config.Revision)
	newID     func() string
	pages     *template.Template
}

// Option changes a Console under construction.
type Option func(*Console)

// WithStatus sets what the status page shows.
func WithStatus(f func() any) Option {
	return func(c *Console) {
		c.status = f
	}
}

// WithReport sets what the report page shows.
func WithReport(f func() any) Option {
	return func(c *Console) {
		c.report = f
	}
}

// WithOffer sets a function that is given each revision that the console has put in force.
func WithOffer(f func(config.Revision)) Option {
	return func(c *Console) {
		c.offer = f
	}
}

// New returns a console for the operators over the revisions; newID gives each change its identity.
func New(deps common.Deps, operators []setup.Operator, revisions Revisions, newID func() string, opts ...Option) *Console {
	c := &Console{
		Deps: deps.WithPart("forms"),
		sessions: Sessions{
			operators: operators,
			now:       deps.Now,
		},
		revisions: revisions,
		newID:     newID,
		offer:     func(config.Revision) {},
		pages:     template.Must(template.ParseFS(pageFiles, "pages/*.html")),
	}
	for _, o := range opts {
		o(c)
	}
	return c
}

// Handler returns the console under /console/; requests from other sites that change anything are refused.
func (c *Console) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /console/login", c.showLogin)
	mux.HandleFunc("POST /console/login", c.login)
	mux.HandleFunc("POST /console/logout", c.logout)
	mux.HandleFunc("GET /console/{$}", c.signed(setup.Viewer, c.showStatus))
	mux.HandleFunc("GET /console/report", c.signed(setup.Viewer, c.showReport))
	mux.HandleFunc("GET /console/document", c.signed(setup.Viewer, c.showDocument))
	mux.HandleFunc("GET /console/history", c.signed(setup.Viewer, c.showHistory))
	mux.HandleFunc("GET /console/edit/{kind}", c.signed(setup.Editor, c.showForm))
	mux.HandleFunc("POST /console/edit/{kind}", c.signed(setup.Editor, c.preview))
	mux.HandleFunc("POST /console/back", c.signed(setup.Editor, c.previewBack))
	mux.HandleFunc("POST /console/commit", c.signed(setup.Approver, c.commit))
	return http.NewCrossOriginProtection().Handler(mux)
}

// page is what every template is given.
type page struct {
	Title    string
	Operator setup.Operator
	Message  string
	Data     any
}

type signedHandler func(w http.ResponseWriter, r *http.Request, o setup.Operator)

// signed lets operators of the role or a higher one through.
func (c *Console) signed(role setup.Role, h signedHandler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		o, ok := c.sessions.of(r)
		if !ok {
			http.Redirect(w, r, "/console/login", http.StatusSeeOther)
			return
		}
		if !o.Role.Has(role) {
			w.WriteHeader(http.StatusForbidden)
			c.render(w, "message.html", page{
				Title:    "Not allowed",
				Operator: o,
				Message:  fmt.Sprintf("%s is %s, and this takes %s.", o.Name, o.Role, role),
			})
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, maxForm)
		h(w, r, o)
	}
}

func (c *Console) render(w http.ResponseWriter, name string, p page) {
	var buf bytes.Buffer
	if err := c.pages.ExecuteTemplate(&buf, name, p); err != nil {
		c.Log.WithError(err).Errorf("Page %s cannot be made.", name)
		http.Error(w, "the page cannot be made", http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "text/html; charset=utf-8")
	w.Header().Set("Content-Security-Policy", "default-src 'none'; style-src 'unsafe-inline'; form-action 'self'; frame-ancestors 'none'")
	// An operator who has gone away can ask again.
	_, _ = w.Write(buf.Bytes())
}

func (c *Console) showLogin(w http.ResponseWriter, _ *http.Request) {
	c.render(w, "login.html", page{Title: "Sign in"})
}

func (c *Console) login(w http.ResponseWriter, r *http.Request) {
	r.Body = http.MaxBytesReader(w, r.Body, maxForm)
	if !c.sessions.login(w, r.FormValue("token")) {
		w.WriteHeader(http.StatusUnauthorized)
		c.render(w, "login.html", page{
			Title:   "Sign in",
			Message: "No operator has this token.",
		})
		return
	}
	http.Redirect(w, r, "/console/", http.StatusSeeOther)
}

func (c *Console) logout(w http.ResponseWriter, r *http.Request) {
	c.sessions.logout(w)
	http.Redirect(w, r, "/console/login", http.StatusSeeOther)
}

func (c *Console) showStatus(w http.ResponseWriter, _ *http.Request, o setup.Operator) {
	c.render(w, "status.html", page{
		Title:    "Hosts",
		Operator: o,
		Data:     c.status(),
	})
}

func (c *Console) showReport(w http.ResponseWriter, _ *http.Request, o setup.Operator) {
	c.render(w, "report.html", page{
		Title:    "Report",
		Operator: o,
		Data:     c.report(),
	})
}

// fault shows why something could not be done.
func (c *Console) fault(w http.ResponseWriter, o setup.Operator, err error) {
	w.WriteHeader(http.StatusServiceUnavailable)
	c.render(w, "message.html", page{
		Title:    "Not now",
		Operator: o,
		Message:  err.Error(),
	})
}

func (c *Console) showDocument(w http.ResponseWriter, r *http.Request, o setup.Operator) {
	rev, err := c.newest(r.Context())
	if err != nil {
		c.fault(w, o, err)
		return
	}
	c.render(w, "document.html", page{
		Title:    "Document",
		Operator: o,
		Data:     rev,
	})
}

// newest returns the newest revision, or an empty one before the first.
func (c *Console) newest(ctx context.Context) (config.Revision, error) {
	rev, err := c.revisions.Newest(ctx)
	if errors.Is(err, watch.ErrNone) {
		return config.Revision{}, nil
	}
	if err != nil {
		return config.Revision{}, fmt.Errorf("read newest revision: %w", err)
	}
	return rev, nil
}

func (c *Console) showHistory(w http.ResponseWriter, r *http.Request, o setup.Operator) {
	revs, err := c.revisions.History(r.Context(), maxHistory)
	if err != nil {
		c.fault(w, o, err)
		return
	}
	c.render(w, "history.html", page{
		Title:    "History",
		Operator: o,
		Data:     revs,
	})
}

// form is the data of a form page.
type form struct {
	Kind   string
	Fields []Field
	Rest   []string
}

func (c *Console) showForm(w http.ResponseWriter, r *http.Request, o setup.Operator) {
	rev, err := c.newest(r.Context())
	if err != nil {
		c.fault(w, o, err)
		return
	}
	kind := r.PathValue("kind")
	c.render(w, "form.html", page{
		Title:    "Edit " + kind,
		Operator: o,
		Data: form{
			Kind:   kind,
			Fields: fieldsOf(rev.Document, kind, r.FormValue("name")),
		},
	})
}

// preview checks the posted entity within the newest document, and shows either every fault or the difference.
func (c *Console) preview(w http.ResponseWriter, r *http.Request, o setup.Operator) {
	if err := r.ParseForm(); err != nil {
		c.fault(w, o, fmt.Errorf("read form: %w", err))
		return
	}
	c.previewOf(w, r, o, r.PathValue("kind"), r.PostForm, "")
}

func (c *Console) previewOf(w http.ResponseWriter, r *http.Request, o setup.Operator, kind string, posted url.Values, message string) {
	rev, err := c.newest(r.Context())
	if err != nil {
		c.fault(w, o, err)
		return
	}
	in := reader{
		form:   posted,
		faults: map[string][]string{},
	}
	doc, at := in.applied(rev.Document, kind)
	rest := in.place(doc.Faults(), at)
	if len(in.faults) > 0 || len(rest) > 0 {
		w.WriteHeader(http.StatusUnprocessableEntity)
		c.render(w, "form.html", page{
			Title:    "Edit " + kind,
			Operator: o,
			Message:  "Nothing was saved. What is wrong stands next to its field.",
			Data: form{
				Kind:   kind,
				Fields: in.fields(kind),
				Rest:   rest,
			},
		})
		return
	}
	c.showDifference(w, o, rev, doc, kind, posted, message)
}

// previewBack shows the difference to an earlier revision, which commits as a new one.
func (c *Console) previewBack(w http.ResponseWriter, r *http.Request, o setup.Operator) {
	number, err := strconv.ParseInt(r.FormValue("revision"), 10, 64)
	if err != nil {
		c.fault(w, o, fmt.Errorf("read revision: %w", err))
		return
	}
	old, err := c.revisions.Revision(r.Context(), number)
	if err != nil {
		c.fault(w, o, err)
		return
	}
	rev, err := c.newest(r.Context())
	if err != nil {
		c.fault(w, o, err)
		return
	}
	c.showDifference(w, o, rev, old.Document, "", nil, fmt.Sprintf("This goes back to the text of revision %d.", number))
}

// difference is the data of the page that is shown before a change is committed.
type difference struct {
	Base     int64
	Change   string
	Document string
	Lines    string
	Kind     string
	Posted   string
	Approver bool
}

func (c *Console) showDifference(w http.ResponseWriter, o setup.Operator, rev config.Revision, doc config.Document, kind string, posted url.Values, message string) {
	text, err := doc.Encode()
	if err != nil {
		c.fault(w, o, err)
		return
	}
	lines, err := config.Diff(rev.Document, doc, fmt.Sprintf("revision %d", rev.Number), "your change")
	if err != nil {
		c.fault(w, o, err)
		return
	}
	c.render(w, "difference.html", page{
		Title:    "Difference",
		Operator: o,
		Message:  message,
		Data: difference{
			Base:     rev.Number,
			Change:   c.newID(),
			Document: string(text),
			Lines:    lines,
			Kind:     kind,
			Posted:   posted.Encode(),
			Approver: o.Role.Has(setup.Approver),
		},
	})
}

// commit puts the change in force by compare-and-set; after a lost race the same fields are tried on the winner's document.
func (c *Console) commit(w http.ResponseWriter, r *http.Request, o setup.Operator) {
	base, err := strconv.ParseInt(r.FormValue("base"), 10, 64)
	if err != nil {
		c.fault(w, o, fmt.Errorf("read base: %w", err))
		return
	}
	doc, err := config.Parse("document", []byte(r.FormValue("document")))
	if err != nil {
		c.fault(w, o, err)
		return
	}
	rev, err := c.revisions.Apply(r.Context(), watch.Change{
		ID:       r.FormValue("change"),
		Author:   o.Name,
		Base:     base,
		Document: doc,
	})
	var race *watch.RaceError
	if errors.As(err, &race) {
		c.merge(w, r, o, race)
		return
	}
	if err != nil {
		c.fault(w, o, err)
		return
	}
	c.offer(rev)
	http.Redirect(w, r, "/console/", http.StatusSeeOther)
}

func (c *Console) merge(w http.ResponseWriter, r *http.Request, o setup.Operator, race *watch.RaceError) {
	message := fmt.Sprintf("Nothing was saved: %s. Below are your fields on top of that revision.", race)
	posted, err := url.ParseQuery(r.FormValue("posted"))
	kind := r.FormValue("kind")
	if err != nil || kind == "" {
		c.fault(w, o, race)
		return
	}
	w.WriteHeader(http.StatusConflict)
	c.previewOf(w, r, o, kind, posted, message)
}
