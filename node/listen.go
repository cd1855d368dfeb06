package node

import (
	"net"

	"github.com/samber/oops"

	"github.com/rosemaryhatch/rosemaryhatch/runner/ingress"
	"github.com/rosemaryhatch/rosemaryhatch/settings"
)

// Listeners are a node's open listeners.
type Listeners struct {
	Callers, Peers, Operator, Register net.Listener
}

// Listen opens the listeners that the settings name. The error names the key whose address cannot be
// used.
func Listen(s settings.Listen) (*Listeners, error) {
	l := &Listeners{}
	for _, wanted := range []struct {
		listener *net.Listener
		key      string
		address  string
	}{
		{&l.Callers, "callers", s.Callers},
		{&l.Peers, "peers", s.Peers},
		{&l.Operator, "operator", s.Operator},
		{&l.Register, "register", s.Register},
	} {
		listener, err := ingress.Listen(wanted.address)
		if err != nil {
			l.Close()
			return nil, oops.In("node").With("section", "listen", "key", wanted.key).Wrapf(err, "[listen] %s", wanted.key)
		}
		*wanted.listener = listener
	}
	return l, nil
}

// Close closes the listeners that are open.
func (l *Listeners) Close() {
	for _, listener := range []net.Listener{l.Callers, l.Peers, l.Operator, l.Register} {
		if listener != nil {
			listener.Close()
		}
	}
}
