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
	maxFormBytes = 1 << 20
	maxHistory   = 50
)

// RevisionStore reads and commits revisions of the document.
type RevisionStore interface {
	Newest(ctx context.Context) (config.Revision, error)
	Revision(ctx context.Context, number int64) (config.Revision, error)
	History(ctx context.Context, limit int) ([]config.Revision, error)
	Apply(ctx context.Context, c watch.Change) (config.Revision, error)
}

// Console serves the pages under /console/.
type Console struct {
	common.Deps
	sessions    Sessions
	revisions   RevisionStore
	status      func() any
	report      func() any
	onCommit    func(config.Revision)
	newChangeID func() string
	pages       *template.Template
}

// Option configures a Console in New.
type Option func(*Console)

// WithStatus sets the function that returns the data of the status page.
func WithStatus(f func() any) Option {
	return func(c *Console) {
		c.status = f
	}
}

// WithReport sets the function that returns the data of the report page.
func WithReport(f func() any) Option {
	return func(c *Console) {
		c.report = f
	}
}

// WithOnCommit sets a function that is called with each revision that the console has committed.
func WithOnCommit(f func(config.Revision)) Option {
	return func(c *Console) {
		c.onCommit = f
	}
}

// New returns a console in which the operators edit the revisions; newChangeID returns a unique ID for each change.
func New(deps common.Deps, operators []setup.Operator, revisions RevisionStore, newChangeID func() string, opts ...Option) *Console {
	c := &Console{
		Deps: deps.WithPart("forms"),
		sessions: Sessions{
			operators: operators,
			now:       deps.Now,
		},
		revisions:   revisions,
		newChangeID: newChangeID,
		onCommit:    func(config.Revision) {},
		pages:       template.Must(template.ParseFS(pageFiles, "pages/*.html")),
	}
	for _, o := range opts {
		o(c)
	}
	return c
}

// Handler returns the handler for the paths under /console/; it rejects cross-origin requests with any method other than GET, HEAD and OPTIONS.
func (c *Console) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /console/login", c.showLogin)
	mux.HandleFunc("POST /console/login", c.login)
	mux.HandleFunc("POST /console/logout", c.logout)
	mux.HandleFunc("GET /console/{$}", c.requireRole(setup.Viewer, c.showStatus))
	mux.HandleFunc("GET /console/report", c.requireRole(setup.Viewer, c.showReport))
	mux.HandleFunc("GET /console/document", c.requireRole(setup.Viewer, c.showDocument))
	mux.HandleFunc("GET /console/history", c.requireRole(setup.Viewer, c.showHistory))
	mux.HandleFunc("GET /console/edit/{kind}", c.requireRole(setup.Editor, c.showForm))
	mux.HandleFunc("POST /console/edit/{kind}", c.requireRole(setup.Editor, c.preview))
	mux.HandleFunc("POST /console/back", c.requireRole(setup.Editor, c.previewRollback))
	mux.HandleFunc("POST /console/commit", c.requireRole(setup.Approver, c.commit))
	return http.NewCrossOriginProtection().Handler(mux)
}

// page is the argument of every template.
type page struct {
	Title    string
	Operator setup.Operator
	Message  string
	Data     any
}

// operatorHandler handles the request of a signed-in operator.
type operatorHandler func(w http.ResponseWriter, r *http.Request, o setup.Operator)

// requireRole calls h only for signed-in operators with the role or a higher one; others get the login page or status 403. It also limits the request body to maxFormBytes.
func (c *Console) requireRole(role setup.Role, h operatorHandler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		o, ok := c.sessions.fromRequest(r)
		if !ok {
			http.Redirect(w, r, "/console/login", http.StatusSeeOther)
			return
		}
		if !o.Role.Includes(role) {
			w.WriteHeader(http.StatusForbidden)
			c.render(w, "message.html", page{
				Title:    "Not allowed",
				Operator: o,
				Message:  fmt.Sprintf("%s is %s, and this takes %s.", o.Name, o.Role, role),
			})
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, maxFormBytes)
		h(w, r, o)
	}
}

func (c *Console) render(w http.ResponseWriter, name string, p page) {
	var buf bytes.Buffer
	if err := c.pages.ExecuteTemplate(&buf, name, p); err != nil {
		c.Log.WithError(err).Errorf("Cannot render page %s.", name)
		http.Error(w, "the page cannot be made", http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "text/html; charset=utf-8")
	w.Header().Set("Content-Security-Policy", "default-src 'none'; style-src 'unsafe-inline'; form-action 'self'; frame-ancestors 'none'")
	// A write error is ignored: it means that the operator has disconnected and can load the page again.
	_, _ = w.Write(buf.Bytes())
}

func (c *Console) showLogin(w http.ResponseWriter, _ *http.Request) {
	c.render(w, "login.html", page{Title: "Sign in"})
}

func (c *Console) login(w http.ResponseWriter, r *http.Request) {
	r.Body = http.MaxBytesReader(w, r.Body, maxFormBytes)
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

// renderError answers 503 with a page that shows the error.
func (c *Console) renderError(w http.ResponseWriter, o setup.Operator, err error) {
	w.WriteHeader(http.StatusServiceUnavailable)
	c.render(w, "message.html", page{
		Title:    "Not now",
		Operator: o,
		Message:  err.Error(),
	})
}

func (c *Console) showDocument(w http.ResponseWriter, r *http.Request, o setup.Operator) {
	rev, err := c.newestRevision(r.Context())
	if err != nil {
		c.renderError(w, o, err)
		return
	}
	c.render(w, "document.html", page{
		Title:    "Document",
		Operator: o,
		Data:     rev,
	})
}

// newestRevision returns the newest revision, or an empty revision if none was committed yet.
func (c *Console) newestRevision(ctx context.Context) (config.Revision, error) {
	rev, err := c.revisions.Newest(ctx)
	if errors.Is(err, watch.ErrNoRevision) {
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
		c.renderError(w, o, err)
		return
	}
	c.render(w, "history.html", page{
		Title:    "History",
		Operator: o,
		Data:     revs,
	})
}

// form is the data of a form page. Rest holds the faults of the document that belong to none of the fields.
type form struct {
	Kind   string
	Fields []Field
	Rest   []string
}

func (c *Console) showForm(w http.ResponseWriter, r *http.Request, o setup.Operator) {
	rev, err := c.newestRevision(r.Context())
	if err != nil {
		c.renderError(w, o, err)
		return
	}
	kind := r.PathValue("kind")
	c.render(w, "form.html", page{
		Title:    "Edit " + kind,
		Operator: o,
		Data: form{
			Kind:   kind,
			Fields: entityFields(rev.Document, kind, r.FormValue("name")),
		},
	})
}

// preview checks the newest document with the posted entity in it, and shows either every fault or the difference to the newest revision.
func (c *Console) preview(w http.ResponseWriter, r *http.Request, o setup.Operator) {
	if err := r.ParseForm(); err != nil {
		c.renderError(w, o, fmt.Errorf("read form: %w", err))
		return
	}
	c.renderPreview(w, r, o, r.PathValue("kind"), r.PostForm, "")
}

// renderPreview shows every fault of the posted fields, or the difference to the newest revision with the message above it.
func (c *Console) renderPreview(w http.ResponseWriter, r *http.Request, o setup.Operator, kind string, posted url.Values, message string) {
	rev, err := c.newestRevision(r.Context())
	if err != nil {
		c.renderError(w, o, err)
		return
	}
	parser := formReader{
		form:   posted,
		faults: map[string][]string{},
	}
	doc, path := parser.withEntity(rev.Document, kind)
	rest := parser.assignFaults(doc.Faults(), path)
	if len(parser.faults) > 0 || len(rest) > 0 {
		w.WriteHeader(http.StatusUnprocessableEntity)
		c.render(w, "form.html", page{
			Title:    "Edit " + kind,
			Operator: o,
			Message:  "Nothing was saved. What is wrong stands next to its field.",
			Data: form{
				Kind:   kind,
				Fields: parser.fields(kind),
				Rest:   rest,
			},
		})
		return
	}
	c.showDifference(w, o, rev, doc, kind, posted, message)
}

// previewRollback shows the difference to the document of an earlier revision; committing it creates a new revision with that document.
func (c *Console) previewRollback(w http.ResponseWriter, r *http.Request, o setup.Operator) {
	number, err := strconv.ParseInt(r.FormValue("revision"), 10, 64)
	if err != nil {
		c.renderError(w, o, fmt.Errorf("read revision: %w", err))
		return
	}
	old, err := c.revisions.Revision(r.Context(), number)
	if err != nil {
		c.renderError(w, o, err)
		return
	}
	rev, err := c.newestRevision(r.Context())
	if err != nil {
		c.renderError(w, o, err)
		return
	}
	c.showDifference(w, o, rev, old.Document, "", nil, fmt.Sprintf("This goes back to the text of revision %d.", number))
}

// differencePage is the data of the page that shows a change before it is committed.
type differencePage struct {
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
		c.renderError(w, o, err)
		return
	}
	lines, err := config.Diff(rev.Document, doc, fmt.Sprintf("revision %d", rev.Number), "your change")
	if err != nil {
		c.renderError(w, o, err)
		return
	}
	c.render(w, "difference.html", page{
		Title:    "Difference",
		Operator: o,
		Message:  message,
		Data: differencePage{
			Base:     rev.Number,
			Change:   c.newChangeID(),
			Document: string(text),
			Lines:    lines,
			Kind:     kind,
			Posted:   posted.Encode(),
			Approver: o.Role.Includes(setup.Approver),
		},
	})
}

// commit puts the change in force by compare-and-set on its base. If another operator committed first, the preview is shown again with the same fields, now applied to that operator's revision.
func (c *Console) commit(w http.ResponseWriter, r *http.Request, o setup.Operator) {
	base, err := strconv.ParseInt(r.FormValue("base"), 10, 64)
	if err != nil {
		c.renderError(w, o, fmt.Errorf("read base: %w", err))
		return
	}
	doc, err := config.Parse("document", []byte(r.FormValue("document")))
	if err != nil {
		c.renderError(w, o, err)
		return
	}
	rev, err := c.revisions.Apply(r.Context(), watch.Change{
		ID:       r.FormValue("change"),
		Author:   o.Name,
		Base:     base,
		Document: doc,
	})
	var staleErr *watch.StaleBaseError
	if errors.As(err, &staleErr) {
		c.renderConflict(w, r, o, staleErr)
		return
	}
	if err != nil {
		c.renderError(w, o, err)
		return
	}
	c.onCommit(rev)
	http.Redirect(w, r, "/console/", http.StatusSeeOther)
}

// renderConflict answers 409 with a preview of the posted fields applied to the newest revision. A rollback has no posted fields, so it only gets the error.
func (c *Console) renderConflict(w http.ResponseWriter, r *http.Request, o setup.Operator, staleErr *watch.StaleBaseError) {
	message := fmt.Sprintf("Nothing was saved: %s. Below are your fields on top of that revision.", staleErr)
	posted, err := url.ParseQuery(r.FormValue("posted"))
	kind := r.FormValue("kind")
	if err != nil || kind == "" {
		c.renderError(w, o, staleErr)
		return
	}
	w.WriteHeader(http.StatusConflict)
	c.renderPreview(w, r, o, kind, posted, message)
}
