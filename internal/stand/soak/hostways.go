package soak

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/cornelwing/cornelwing/internal/stand/link"
)

// harmWays harms the ways from some hosts to others, and also back, for a while.
type harmWays struct {
	From, To []int
	Both     bool
	Harm     link.Harm
	For      time.Duration
}

// isolateHosts takes the store and the ways to the other hosts from some hosts for a while. They reach servers and callers as before.
type isolateHosts struct {
	Ways harmWays
	// Store is the mode of their links to the store.
	Store link.Mode
}

func (harmWays) isFault()     {}
func (isolateHosts) isFault() {}

// maxWayDelay bounds the delay of a harmed way.
const maxWayDelay = 400 * time.Millisecond

// randomHarm returns a harm of the ways between hosts: one pair or one host apart from all others, or all hosts in two groups.
func randomHarm(rng *rand.Rand, hosts int) harmWays {
	order := rng.Perm(hosts)
	n := 1 + rng.IntN(max(hosts/2, 1))
	out := harmWays{
		From: order[:n],
		To:   order[n:],
		Both: rng.IntN(2) == 0,
		For:  500*time.Millisecond + time.Duration(rng.Int64N(int64(4*time.Second))),
	}
	if rng.IntN(4) == 0 {
		out.From = order[:1]
		out.To = order[1:2]
	}
	switch rng.IntN(4) {
	case 0:
		out.Harm.Delay = 20*time.Millisecond + time.Duration(rng.Int64N(int64(maxWayDelay)))
	case 1:
		out.Harm.Refused = true
	default:
		out.Harm.Lost = true
	}
	return out
}

// harmWays harms the ways between hosts for a while.
func (r *run) harmWays(f harmWays) {
	from := time.Now()
	ends := []func(){r.world.ways.mesh.Harm(hostNames(f.From), hostNames(f.To), f.Harm)}
	if f.Both {
		ends = append(ends, r.world.ways.mesh.Harm(hostNames(f.To), hostNames(f.From), f.Harm))
	}
	time.Sleep(f.For)
	for _, end := range ends {
		end()
	}
	for _, hosts := range [][]int{f.From, f.To} {
		for _, h := range hosts {
			r.history.addDisturbance(disturbance{
				Host:   h,
				From:   from,
				To:     time.Now(),
				CutOff: true,
			})
		}
	}
}

// randomIsolation returns an isolation of one host or more.
func randomIsolation(rng *rand.Rand, hosts int) isolateHosts {
	order := rng.Perm(hosts)
	n := 1 + rng.IntN(max(hosts/2, 1))
	modes := []link.Mode{link.Hang, link.Hang, link.Refuse}
	return isolateHosts{
		Ways: harmWays{
			From: order[:n],
			To:   order[n:],
			Both: true,
			Harm: link.Harm{Lost: true},
			For:  time.Second + time.Duration(rng.Int64N(int64(3*time.Second))),
		},
		Store: modes[rng.IntN(len(modes))],
	}
}

// isolateHosts takes the store and the ways to the other hosts from some hosts for a while.
func (r *run) isolateHosts(f isolateHosts) {
	for _, i := range f.Ways.From {
		setLinkMode(r.world.hosts[i].toStore, f.Store)
	}
	// The disturbance that it records holds for the store, too.
	r.harmWays(f.Ways)
	for _, i := range f.Ways.From {
		setLinkMode(r.world.hosts[i].toStore, link.Open)
	}
}

// hostName returns the name of a host.
func hostName(i int) string {
	return fmt.Sprintf("host-%d", i)
}

func hostNames(list []int) []string {
	var out []string
	for _, i := range list {
		out = append(out, hostName(i))
	}
	return out
}

// hostWays are the ways between hosts, on which each reaches the others. It is safe for concurrent use.
type hostWays struct {
	mesh *link.Mesh

	mu        sync.Mutex
	processes map[string]*process
	// fronts holds the addresses at which others reach the hosts, by the address on which each listens.
	fronts map[string]string
}

func newHostWays() *hostWays {
	w := &hostWays{
		processes: map[string]*process{},
		fronts:    map[string]string{},
	}
	w.mesh = link.NewMesh(w.opener)
	return w
}

// add adds a host that listens on the address for other hosts. It must be called before the host starts.
func (w *hostWays) add(name, addr string, p *process) error {
	front, err := w.mesh.Add(name, addr)
	if err != nil {
		return fmt.Errorf("add host %s to the mesh: %w", name, err)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.processes[name] = p
	w.fronts[addr] = front
	return nil
}

// addrOf returns the address at which others reach the host that listens on an address.
func (w *hostWays) addrOf(addr string) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	if front, ok := w.fronts[addr]; ok {
		return front
	}
	return addr
}

// opener returns the name of the host whose process opened the connection, or "" if none holds it any more.
func (w *hostWays) opener(opened net.Conn) string {
	inode, err := socketInode(opened.RemoteAddr(), opened.LocalAddr())
	if err != nil {
		// The other end has closed the connection.
		return ""
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for name, p := range w.processes {
		if p.holdsSocket(inode) {
			return name
		}
	}
	return ""
}

// holdsSocket reports whether the process holds the socket with the inode.
func (p *process) holdsSocket(inode uint32) bool {
	want := fmt.Sprintf("socket:[%d]", inode)
	dir := fmt.Sprintf("/proc/%d/fd", p.pid())
	// A process that has ended holds none.
	files, _ := os.ReadDir(dir)
	for _, f := range files {
		if to, err := os.Readlink(filepath.Join(dir, f.Name())); err == nil && to == want {
			return true
		}
	}
	return false
}
