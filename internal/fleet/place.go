package fleet

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/samber/oops"
)

// Place is one node and the backend server beside it, with their addresses and processes.
type Place struct {
	ID, Zone, Service string // the node's ID and availability zone, and the service of the backend server
	// Callers, Peers, Operator and Register are the addresses of the node's listeners.
	Callers, Peers, Operator, Register, BackendAddress string
	// AdvertisePeers is the address at which peers reach the node. Empty means Peers.
	AdvertisePeers string
	Node, Backend  *Process // nil until they are started
}

// AssignAddresses sets the addresses of the places to free ones and returns another one for the platform.
func AssignAddresses(places []*Place) (platform string, err error) {
	const perPlace = 5
	free, err := FreeAddresses(len(places)*perPlace + 1)
	if err != nil {
		return "", err
	}
	for i, p := range places {
		addresses := free[i*perPlace : (i+1)*perPlace]
		p.Callers, p.Peers, p.Operator, p.Register, p.BackendAddress = addresses[0], addresses[1], addresses[2], addresses[3], addresses[4]
	}
	return free[len(free)-1], nil
}

// NodeSettings returns the text of the settings file for the node of p. The nodes of all other places are its seeds.
func NodeSettings(p *Place, places []*Place, platform string) string {
	var seeds []string
	for _, other := range places {
		if other != p {
			seeds = append(seeds, other.advertisedPeers())
		}
	}
	return fmt.Sprintf(`[node]
id = %s
zone = %s
system = fleet

[listen]
callers = %s
peers = %s
advertise_peers = %s
operator = %s
register = %s

[peers]
seeds = %s

[platform]
address = %s

[shutdown]
timeout = 10s
`, p.ID, p.Zone, p.Callers, p.Peers, p.AdvertisePeers, p.Operator, p.Register, strings.Join(seeds, ", "), platform)
}

func (p *Place) advertisedPeers() string {
	if p.AdvertisePeers != "" {
		return p.AdvertisePeers
	}
	return p.Peers
}

// StartPlace starts the node of a place with these settings and its backend server with these arguments. programs is the
// directory of the compiled programs.
func (s *Processes) StartPlace(ctx context.Context, p *Place, programs, settings string, backendArgs ...string) error {
	if err := s.StartNode(ctx, p, programs, settings); err != nil {
		return err
	}
	return s.StartBackend(ctx, p, programs, backendArgs...)
}

// StartNode starts the node of a place with these settings and waits until it listens.
func (s *Processes) StartNode(ctx context.Context, p *Place, programs, settings string) error {
	path := filepath.Join(s.Directory, p.ID+".ini")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return oops.In("fleet").Wrap(err)
	}
	var err error
	if p.Node, err = s.Start(p.ID, filepath.Join(programs, "rosemaryhatch-node"), "--settings", path); err != nil {
		return err
	}
	return AwaitListener(ctx, p.Register)
}

// StartBackend starts the backend server of a place and waits until it listens.
func (s *Processes) StartBackend(ctx context.Context, p *Place, programs string, args ...string) error {
	args = append([]string{"backend", "--listen", p.BackendAddress, "--register", p.Register, "--service", p.Service, "--slots", "6"}, args...)
	var err error
	if p.Backend, err = s.Start("backend-"+p.ID, filepath.Join(programs, "rosemaryhatch-standin"), args...); err != nil {
		return err
	}
	return AwaitListener(ctx, p.BackendAddress)
}
