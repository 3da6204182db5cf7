package forms

import (
	"context"
	"crypto/rand"
	"fmt"
	"io"
	"net/http"
	"net/http/cookiejar"
	"net/http/httptest"
	"net/url"
	"regexp"
	"strings"
	"testing"

	"github.com/cornelwing/cornelwing/internal/common"
	"github.com/cornelwing/cornelwing/internal/root/watch"
	"github.com/cornelwing/cornelwing/internal/setup"
	"github.com/cornelwing/cornelwing/internal/stand/table"
	"github.com/cornelwing/cornelwing/pkg/config"
)

const document = `pipelines:
  - {name: chat, deadline: 8s, idempotent: true, stages: [{name: s, pool: w, idempotent: true, expected: 1ms}]}
pools:
  - {name: w, kind: worker, slots: 4, cost_per_second: 1, silence: 1s}
accounts:
  - {name: ring, key_sha256: a94a8fe5ccb19ba61c4c0873d391e987982fbbd3a94a8fe5ccb19ba61c4c0873, weight: 1, rate_per_second: 10}
objective: {attainment: 0.99}
`

// browser is an HTTP client that holds the session cookie of a signed-in operator.
type browser struct {
	t    *testing.T
	base string
	http *http.Client
}

// startConsole serves a console with one operator for each role; the operator's token is the name of the role. It returns the revision store, which holds revision 1, and the base URL of the console.
func startConsole(t *testing.T) (*watch.Revisions, string) {
	t.Helper()
	deps := common.NewQuietDeps("h", "d")
	revisions := watch.NewRevisions(deps, table.NewFlaky(table.NewRows(), table.FaultRates{}, 1))
	doc, err := config.Parse("doc", []byte(document))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := revisions.Apply(context.Background(), watch.Change{ID: "1", Author: "first", Document: doc}); err != nil {
		t.Fatal(err)
	}
	var operators []setup.Operator
	for _, r := range []setup.Role{setup.Viewer, setup.Editor, setup.Approver} {
		operators = append(operators, setup.Operator{Name: "the-" + string(r), Role: r, KeySHA256: config.HashToken(string(r))})
	}
	c := New(deps, operators, revisions, rand.Text, WithStatus(func() any { return nil }), WithReport(func() any { return nil }))
	s := httptest.NewServer(c.Handler())
	t.Cleanup(s.Close)
	return revisions, s.URL
}

func signIn(t *testing.T, base string, role setup.Role) *browser {
	t.Helper()
	jar, err := cookiejar.New(nil)
	if err != nil {
		t.Fatal(err)
	}
	b := &browser{t: t, base: base, http: &http.Client{Jar: jar}}
	b.post("/console/login", url.Values{"token": {string(role)}}, http.StatusOK)
	return b
}

func (b *browser) do(req *http.Request, want int) string {
	b.t.Helper()
	resp, err := b.http.Do(req)
	if err != nil {
		b.t.Fatal(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		b.t.Fatal(err)
	}
	if resp.StatusCode != want {
		b.t.Fatalf("%s %s: status %d, want %d: %s", req.Method, req.URL.Path, resp.StatusCode, want, body)
	}
	return string(body)
}

func (b *browser) get(path string, want int) string {
	b.t.Helper()
	req, err := http.NewRequest(http.MethodGet, b.base+path, nil)
	if err != nil {
		b.t.Fatal(err)
	}
	return b.do(req, want)
}

func (b *browser) post(path string, form url.Values, want int) string {
	b.t.Helper()
	req, err := http.NewRequest(http.MethodPost, b.base+path, strings.NewReader(form.Encode()))
	if err != nil {
		b.t.Fatal(err)
	}
	req.Header.Set("Content-Type", "application/x-www-form-urlencoded")
	req.Header.Set("Sec-Fetch-Site", "same-origin")
	return b.do(req, want)
}

func accountForm(weight string) url.Values {
	return url.Values{
		"name":            {"ring"},
		"key_sha256":      {strings.Repeat("ab", 32)},
		"weight":          {weight},
		"rate_per_second": {"10"},
	}
}

var hiddenInput = regexp.MustCompile(`(?s)<input type="hidden" name="([a-z]+)" value="([^"]*)">`)

// hiddenFields returns the hidden inputs of a page, unescaped as a browser would send them.
func hiddenFields(page string) url.Values {
	form := url.Values{}
	unescape := strings.NewReplacer("&#34;", `"`, "&#39;", "'", "&#43;", "+", "&amp;", "&", "&lt;", "<", "&gt;", ">")
	for _, m := range hiddenInput.FindAllStringSubmatch(page, -1) {
		form.Set(m[1], unescape.Replace(m[2]))
	}
	return form
}

func TestInvalidEntityShowsEachFaultNextToItsField(t *testing.T) {
	_, base := startConsole(t)
	b := signIn(t, base, setup.Editor)
	scenarios := []struct {
		name string
		kind string
		form url.Values
		want []string
	}{
		{
			name: "account",
			kind: "accounts",
			form: url.Values{"name": {"Ring"}, "key_sha256": {"x"}, "weight": {"0"}, "rate_per_second": {"many"}},
			want: []string{"is not 1 to 63 of a-z", "64 hexadecimal digits", "0 is not from 1 to 1000", "&#34;many&#34; is not a number"},
		},
		{
			name: "pipeline",
			kind: "pipelines",
			form: url.Values{"name": {"chat"}, "deadline": {"1ms"}, "idempotent": {"on"}, "max_tokens": {"0"}, "stages": {"s w true 5ms\nbroken"}},
			want: []string{"1ms is less than the 5ms", "line 2: four words are needed"},
		},
		{
			name: "pool in use by a pipeline, with an unknown kind",
			kind: "pools",
			form: url.Values{"name": {"w"}, "kind": {"wheel"}, "slots": {"4"}, "cost_per_second": {"1"}, "silence": {"1"}},
			want: []string{"is not one of engine, worker, service", "is not a duration with a unit"},
		},
		{
			name: "objective",
			kind: "objective",
			form: url.Values{"attainment": {"2"}},
			want: []string{"2 is not above 0 and below 1"},
		},
	}
	for _, sc := range scenarios {
		t.Run(sc.name, func(t *testing.T) {
			page := b.post("/console/edit/"+sc.kind, sc.form, http.StatusUnprocessableEntity)
			for _, w := range sc.want {
				if !strings.Contains(page, w) {
					t.Errorf("page does not contain %q:\n%s", w, page)
				}
			}
		})
	}
}

func TestEditIsPreviewedThenCommittedOnceAndCanBeRolledBack(t *testing.T) {
	revisions, base := startConsole(t)
	b := signIn(t, base, setup.Approver)
	page := b.post("/console/edit/accounts", accountForm("7"), http.StatusOK)
	if !strings.Contains(page, "-      weight: 1") || !strings.Contains(page, "&#43;      weight: 7") {
		t.Errorf("page does not show the difference:\n%s", page)
	}
	if n, _, _ := revisions.Head(context.Background()); n != 1 {
		t.Fatalf("revision %d before the commit, want 1", n)
	}
	form := hiddenFields(page)
	b.post("/console/commit", form, http.StatusOK)
	b.post("/console/commit", form, http.StatusOK)
	rev, err := revisions.Newest(context.Background())
	if err != nil || rev.Number != 2 || rev.Document.Accounts[0].Weight != 7 || rev.Author != "the-approver" {
		t.Errorf("after two identical commits: revision %d by %s, weight %d, error %v; want revision 2 by the-approver, weight 7", rev.Number, rev.Author, rev.Document.Accounts[0].Weight, err)
	}
	rollback := b.post("/console/back", url.Values{"revision": {"1"}}, http.StatusOK)
	b.post("/console/commit", hiddenFields(rollback), http.StatusOK)
	rev, err = revisions.Newest(context.Background())
	if err != nil || rev.Number != 3 || rev.Document.Accounts[0].Weight != 1 {
		t.Errorf("after the rollback: revision %d, weight %d, error %v; want revision 3, weight 1", rev.Number, rev.Document.Accounts[0].Weight, err)
	}
}

func TestLostRaceNamesTheWinnerAndReappliesTheFields(t *testing.T) {
	revisions, base := startConsole(t)
	winner, loser := signIn(t, base, setup.Approver), signIn(t, base, setup.Approver)
	winnerPage := winner.post("/console/edit/accounts", accountForm("7"), http.StatusOK)
	loserPage := loser.post("/console/edit/objective", url.Values{"attainment": {"0.5"}}, http.StatusOK)
	winner.post("/console/commit", hiddenFields(winnerPage), http.StatusOK)
	page := loser.post("/console/commit", hiddenFields(loserPage), http.StatusConflict)
	if !strings.Contains(page, "the-approver has since made revision 2") {
		t.Errorf("page does not name the winner:\n%s", page)
	}
	loser.post("/console/commit", hiddenFields(page), http.StatusOK)
	rev, err := revisions.Newest(context.Background())
	if err != nil || rev.Number != 3 || rev.Document.Accounts[0].Weight != 7 || rev.Document.Objective.Attainment != 0.5 {
		t.Errorf("after the second commit of the operator who lost the race: revision %d, document %+v, error %v; want revision 3 with both changes", rev.Number, rev.Document, err)
	}
}

func TestRolesRestrictAccessAndForgedCookieIsRejected(t *testing.T) {
	_, base := startConsole(t)
	viewer, editor := signIn(t, base, setup.Viewer), signIn(t, base, setup.Editor)
	viewer.get("/console/document", http.StatusOK)
	viewer.get("/console/edit/accounts?name=ring", http.StatusForbidden)
	page := editor.post("/console/edit/accounts", accountForm("7"), http.StatusOK)
	if strings.Contains(page, "Put in force") {
		t.Error("page offers the commit to an editor")
	}
	editor.post("/console/commit", url.Values{}, http.StatusForbidden)
	editor.get("/console/edit/accounts?name=nobody", http.StatusOK)

	req, err := http.NewRequest(http.MethodPost, base+"/console/logout", nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Sec-Fetch-Site", "cross-site")
	editor.do(req, http.StatusForbidden)

	u, err := url.Parse(base)
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range viewer.http.Jar.Cookies(u) {
		forged := strings.Replace(c.Value, "dGhlLXZpZXdlcg", "dGhlLWFwcHJvdmVy", 1)
		if forged == c.Value {
			t.Fatalf("cookie %s does not contain the operator's name", c.Value)
		}
		viewer.http.Jar.SetCookies(u, []*http.Cookie{{Name: c.Name, Value: forged, Path: "/"}})
	}
	if page := viewer.get("/console/document", http.StatusOK); !strings.Contains(page, "Sign in") {
		t.Error("forged cookie was accepted")
	}
}

func TestEveryInputHasALabelAndNoPageNeedsAScript(t *testing.T) {
	_, base := startConsole(t)
	b := signIn(t, base, setup.Editor)
	for _, kind := range []string{"pipelines", "pools", "accounts", "objective"} {
		page := b.get("/console/edit/"+kind, http.StatusOK)
		for _, f := range entityFields(config.Document{}, kind, "") {
			if !strings.Contains(page, fmt.Sprintf(`<label for="%s">`, f.Name)) || !strings.Contains(page, fmt.Sprintf(`id="%s"`, f.Name)) {
				t.Errorf("form %s: input %s has no label", kind, f.Name)
			}
		}
		if strings.Contains(page, "<script") {
			t.Errorf("form %s contains a script", kind)
		}
	}
}
