package plan

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func routeOf(name, host, prefix string) Route {
	return Route{
		Name:   name,
		Host:   host,
		Prefix: prefix,
	}
}

func TestMatchReturnsLongestPrefixOfHost(t *testing.T) {
	p := New(1, []Route{
		routeOf("short", "a.example", "/x/"),
		routeOf("long", "a.example", "/x/y/"),
		routeOf("other", "b.example", "/x/"),
	}, nil, nil, Limits{})
	scenarios := []struct {
		host, path, want string
	}{
		{host: "a.example", path: "/x/1", want: "short"},
		{host: "a.example", path: "/x/y/1", want: "long"},
		{host: "a.example", path: "/x/yy/1", want: "short"},
		{host: "b.example", path: "/x/y/1", want: "other"},
		{host: "a.example", path: "/x", want: ""},
		{host: "c.example", path: "/x/", want: ""},
	}
	for _, sc := range scenarios {
		Convey("For "+sc.host+sc.path, t, func() {
			r, ok := p.Match(sc.host, sc.path)
			So(r.Name, ShouldEqual, sc.want)
			So(ok, ShouldEqual, sc.want != "")
		})
	}
}

// TestMatchEqualsLinearSearch compares Match with a linear search over random routes.
func TestMatchEqualsLinearSearch(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	part := func() string { return string(rune('a' + rng.IntN(3))) }
	for range 200 {
		var routes []Route
		for i := range 20 {
			prefix := "/" + strings.Repeat(part()+"/", rng.IntN(4))
			routes = append(routes, routeOf(fmt.Sprint(i, prefix), part(), prefix))
		}
		p := New(1, routes, nil, nil, Limits{})
		for range 50 {
			host, path := part(), "/"+part()+"/"+part()+"/"+part()
			best := -1
			for _, r := range routes {
				if r.Host == host && strings.HasPrefix(path, r.Prefix) {
					best = max(best, len(r.Prefix))
				}
			}
			got, ok := p.Match(host, path)
			if ok != (best >= 0) || (ok && len(got.Prefix) != best) {
				t.Fatalf("host %s path %s: got %q, want a prefix of %d", host, path, got.Prefix, best)
			}
		}
	}
}

// Guards against requests that run without a valid key because the last key was taken away (review/1, rule CONFIG).
func TestKeysAreRequiredWhereverThereAreAccounts(t *testing.T) {
	cases := []struct {
		name     string
		accounts []Account
		required bool
		// valid are the keys that identify an account.
		valid []string
	}{
		{name: "no list of accounts"},
		{name: "an empty list", accounts: []Account{}, required: true},
		{name: "accounts without keys", accounts: []Account{{Name: "a"}, {Name: "b", Keys: []string{}}}, required: true},
		{name: "an account with an empty key", accounts: []Account{{Name: "a", Keys: []string{""}}}, required: true},
		{name: "one account with a key", accounts: []Account{{Name: "a"}, {Name: "b", Keys: []string{"k"}}}, required: true, valid: []string{"k"}},
	}
	for _, c := range cases {
		Convey("With "+c.name, t, func() {
			p := New(1, nil, nil, c.accounts, Limits{})
			So(p.RequiresKeys(), ShouldEqual, c.required)
			var valid []string
			for _, key := range []string{"", "k", "other"} {
				if _, ok := p.Account(key); ok {
					valid = append(valid, key)
				}
			}
			So(valid, ShouldResemble, c.valid)
		})
	}
}

func TestPoolIsSelectedByWeight(t *testing.T) {
	Convey("A route with two targets selects each pool by its weight", t, func() {
		r := Route{
			Targets: []Target{{Pool: "a", Weight: 90}, {Pool: "b", Weight: 10}},
		}
		So(r.Pool(0), ShouldEqual, "a")
		So(r.Pool(0.899), ShouldEqual, "a")
		So(r.Pool(0.901), ShouldEqual, "b")
		So(r.Pool(0.999999), ShouldEqual, "b")
	})
}

func TestFinalStagesHaveNoSuccessor(t *testing.T) {
	Convey("Only the stages that no other stage depends on are final", t, func() {
		r := Route{
			Stages: []Stage{{}, {}, {DependsOn: []int{1}}, {DependsOn: []int{2}}},
		}
		So(r.FinalStages(), ShouldResemble, []int{0, 3})
	})
}

func TestActiveAcceptsOnlyNewerPlans(t *testing.T) {
	Convey("Only a newer plan replaces the active one", t, func() {
		var active Active
		So(active.Current(), ShouldBeNil)
		for _, step := range []struct {
			version  int64
			replaced bool
		}{{3, true}, {3, false}, {2, false}, {9, true}, {8, false}} {
			So(active.ReplaceIfNewer(New(step.version, nil, nil, nil, Limits{})), ShouldEqual, step.replaced)
		}
		So(active.Current().Version, ShouldEqual, 9)
	})
}
