package ingress

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"testing"
)

// Guards against connections that are established between the last accept and the close of the listener. The kernel
// resets them, and their callers cannot tell whether the call ran.
func TestNoConnectionIsResetWhileTheListenerCloses(t *testing.T) {
	const rounds, callers = 5, 8
	for round := range rounds {
		if err := dialWhileClosing(t, callers); err != nil {
			t.Fatalf("round %d: %v", round, err)
		}
	}
}

// dialWhileClosing has callers connect in a loop until the listener refuses them. It returns the error of a connection
// that was established and then reset.
func dialWhileClosing(t *testing.T, callers int) error {
	t.Helper()
	inner, err := Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listener := newLimitedListener(inner, 1000, 1000, func(string) {})
	var work sync.WaitGroup
	work.Go(func() { echoOneByte(listener) })
	failures := make(chan error, callers)
	started := make(chan struct{}, callers)
	for range callers {
		work.Go(func() { failures <- callUntilRefused(inner.Addr().String(), started) })
	}
	for range callers {
		<-started
	}
	if err := listener.drain(); err != nil {
		t.Fatal(err)
	}
	work.Wait()
	for range callers {
		if err := <-failures; err != nil {
			return err
		}
	}
	return nil
}

func echoOneByte(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go func() {
			defer conn.Close()
			var b [1]byte
			if _, err := conn.Read(b[:]); err == nil {
				_, _ = conn.Write(b[:])
			}
		}()
	}
}

func callUntilRefused(address string, started chan<- struct{}) error {
	for i := 0; ; i++ {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			return ignoreRefused(err)
		}
		_, err = conn.Write([]byte{1})
		if err == nil {
			_, err = io.ReadFull(conn, make([]byte, 1))
		}
		conn.Close()
		if err != nil {
			return err
		}
		if i == 0 {
			started <- struct{}{}
		}
	}
}

// ignoreRefused returns nil if the closed listener refused the connection: the caller knows then that no call ran.
func ignoreRefused(err error) error {
	if errors.Is(err, syscall.ECONNREFUSED) {
		return nil
	}
	return err
}
