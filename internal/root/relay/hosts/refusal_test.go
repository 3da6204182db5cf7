package hosts

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func namesOf(hosts []Host) string {
	var out []string
	for _, h := range hosts {
		out = append(out, h.Name)
	}
	return strings.Join(out, " ")
}

func TestSearchTriesNamedHostsNext(t *testing.T) {
	cases := []struct {
		name  string
		tried int
		named []string
		left  string
	}{
		{name: "none named", tried: 1, left: "b c d"},
		{name: "one named", tried: 1, named: []string{"d"}, left: "d b c"},
		{name: "two named", tried: 1, named: []string{"d", "c"}, left: "c d b"},
		{name: "a host that was tried", tried: 2, named: []string{"a", "b"}, left: "c d"},
		{name: "an unknown host", tried: 1, named: []string{"x", ""}, left: "b c d"},
		{name: "all tried", tried: 4, named: []string{"a"}},
	}
	Convey("Hosts named by one without links are tried next, each host once", t, func() {
		for _, c := range cases {
			s := newTunnelSearch([]Host{{Name: "a"}, {Name: "b"}, {Name: "c"}, {Name: "d"}})
			for range c.tried {
				_, ok := s.next()
				So(ok, ShouldBeTrue)
			}
			s.recordRefusal(c.named)
			So(c.name+": "+namesOf(s.untried), ShouldEqual, c.name+": "+c.left)
		}
	})
}

func TestRefusalOfDamagedOrOlderFormNamesNoHosts(t *testing.T) {
	cases := []struct {
		name   string
		body   string
		linked int
	}{
		{name: "names", body: `{"error":"no link","linked":["a","b"]}`, linked: 2},
		{name: "no names", body: `{"error":"no link"}`},
		{name: "plain text of an older build", body: "no link to the upstream\n"},
		{name: "empty"},
		{name: "too many names", body: `{"linked":["a","b","c","d"]}`},
		{name: "names of another type", body: `{"linked":[1]}`},
		{name: "cut off", body: `{"linked":["a"`},
		{name: "too long", body: `{"error":"` + strings.Repeat("x", maxTunnelRefusal) + `","linked":["a"]}`},
	}
	Convey("A refused tunnel names only hosts that the other host states in full", t, func() {
		for _, c := range cases {
			err := refusalOf(&http.Response{
				StatusCode: http.StatusBadGateway,
				Body:       io.NopCloser(strings.NewReader(c.body)),
			})
			So(err.Error(), ShouldEqual, "status 502")
			So(len(err.linked), ShouldEqual, c.linked)
		}
	})
}

// Guards against a host that tries eight others without links and then fails connections, though one of the eight knows who has links.
func TestHostWithoutLinksNamesOneThatHasThem(t *testing.T) {
	Convey("Given 30 hosts of which all but the last have no links, and one of these knows the last", t, func() {
		const hosts = 30
		c := newTunnelCluster(t, hosts, hosts-1)
		linked := c.peers[hosts-1].roster.self
		for _, tun := range c.tunnels[1 : hosts-1] {
			tun.remember(linked, true)
		}
		Convey("each of its first connections is opened", func() {
			for range 20 {
				c.tunnels[0].avoided[linked.Name] = c.tunnels[0].Now().Add(peerMemory)
				delete(c.tunnels[0].preferred, linked.Name)
				conn, err := c.tunnels[0].Open(context.Background(), "u")
				So(err, ShouldBeNil)
				_ = conn.Close()
				_ = (<-c.accepted).Close()
			}
		})
	})
}

func TestRefusalHoldsFewHosts(t *testing.T) {
	Convey("A host names three hosts at the most, and none whose time is over", t, func() {
		c := newTunnelCluster(t, 1, 0)
		tun := c.tunnels[0]
		for _, name := range []string{"a", "b", "c", "d"} {
			tun.remember(Host{Name: name}, true)
		}
		So(tun.linkedHosts(), ShouldHaveLength, maxLinkedHosts)
		for name := range tun.preferred {
			tun.preferred[name] = tun.Now()
		}
		So(tun.linkedHosts(), ShouldBeEmpty)
		b, err := json.Marshal(tunnelRefusal{Error: "no link"})
		So(err, ShouldBeNil)
		So(string(b), ShouldEqual, `{"error":"no link"}`)
	})
}
