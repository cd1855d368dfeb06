package node

import (
	"net"

	"github.com/samber/oops"

	"github.com/rosemaryhatch/rosemaryhatch/runner/ingress"
	"github.com/rosemaryhatch/rosemaryhatch/settings"
)

// Listeners holds the open listeners of a node.
type Listeners struct {
	Callers, Peers, Operator, Register net.Listener
}

// Listen opens a listener on each address of the [listen] section. If one of them cannot be opened, it closes the
// others and returns an error that names the key of the address.
func Listen(s settings.Listen) (*Listeners, error) {
	l := &Listeners{}
	for _, entry := range []struct {
		listener *net.Listener
		key      string
		address  string
	}{
		{&l.Callers, "callers", s.Callers},
		{&l.Peers, "peers", s.Peers},
		{&l.Operator, "operator", s.Operator},
		{&l.Register, "register", s.Register},
	} {
		listener, err := ingress.Listen(entry.address)
		if err != nil {
			l.Close()
			return nil, oops.In("node").With("section", "listen", "key", entry.key).Wrapf(err, "[listen] %s", entry.key)
		}
		*entry.listener = listener
	}
	return l, nil
}

// Close closes all open listeners.
func (l *Listeners) Close() {
	for _, listener := range []net.Listener{l.Callers, l.Peers, l.Operator, l.Register} {
		if listener != nil {
			listener.Close()
		}
	}
}
