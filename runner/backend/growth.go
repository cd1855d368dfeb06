package backend

import (
	"context"
	"errors"
	"io"
	"sync"

	"github.com/rosemaryhatch/rosemaryhatch/reducer"
	"github.com/rosemaryhatch/rosemaryhatch/runner/traffic"
)

// errResponseCut is returned for a response that the control thread does not let grow.
var errResponseCut = errors.New("the response is cut, because its memory is needed or nobody waits for it")

// growth asks the control thread how much of one response may be held. Its mailbox is opened with the first question.
type growth struct {
	control   ControlThread
	mailboxes *traffic.Mailboxes
	call      reducer.Handle
	cut       func() // ends the receipt of the response

	mailbox *traffic.Mailbox
	allowed chan struct{} // receives a value for each question that was allowed
	denied  chan struct{} // closed when the response is cut
	stop    chan struct{} // closed when the response has ended

	mu    sync.Mutex
	ended bool // the connection no longer belongs to the response
}

// ask returns nil if bytes of the response may be held. It waits for the answer until ctx ends.
func (g *growth) ask(ctx context.Context, bytes int64) error {
	if g == nil {
		return nil
	}
	if g.mailbox == nil {
		g.mailbox = g.mailboxes.Open()
		g.allowed, g.stop, g.denied = make(chan struct{}, 1), make(chan struct{}), make(chan struct{})
		go g.follow()
	}
	g.control.Post(reducer.ResponseGrows{Call: g.call, Exchange: g.mailbox.Handle, Bytes: bytes})
	select {
	case <-g.allowed:
		return nil
	case <-g.denied:
		return errResponseCut
	case <-ctx.Done():
		return ctx.Err()
	}
}

// follow passes the answers on until the response ends. A denial can come at any time.
func (g *growth) follow() {
	for {
		select {
		case effect := <-g.mailbox.Effects:
			if effect.(reducer.AnswerResponseGrowth).Allowed { // the only effect of this exchange
				g.allowed <- struct{}{}
				continue
			}
			g.deny()
			return
		case <-g.stop:
			return
		}
	}
}

// deny ends the receipt of the response, unless it has ended.
func (g *growth) deny() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.ended {
		close(g.denied)
		g.cut()
	}
}

// wasCut reports whether the control thread has cut the response.
func (g *growth) wasCut() bool {
	if g == nil || g.mailbox == nil {
		return false
	}
	select {
	case <-g.denied:
		return true
	default:
		return false
	}
}

// end releases the mailbox. The response is not cut any more.
func (g *growth) end() {
	if g == nil || g.mailbox == nil {
		return
	}
	g.mu.Lock()
	g.ended = true
	g.mu.Unlock()
	close(g.stop)
	g.mailbox.Close()
}

// firstBodyBytes is the initial buffer of a body whose length is not known.
const firstBodyBytes = 4 << 10

// readBody reads a body to its end, or up to limit bytes. length is the declared one, negative if it is not known. The
// buffer grows with what arrives, not with what is declared; ask is called before it exceeds FreeResponseBytes.
func readBody(body io.Reader, length, limit int64, ask func(bytes int64) error) ([]byte, error) {
	most := limit
	if length >= 0 {
		most = min(limit, length+1) // one more, so that the end of the body is read without growing the buffer
	}
	size := min(most, reducer.FreeResponseBytes)
	if length < 0 {
		size = min(most, firstBodyBytes)
	}
	buffer := make([]byte, 0, size)
	for int64(len(buffer)) < limit {
		if len(buffer) == cap(buffer) {
			size = min(2*int64(cap(buffer)), max(most, int64(cap(buffer))+1))
			if size > reducer.FreeResponseBytes {
				if err := ask(size); err != nil {
					return buffer, err
				}
			}
			buffer = append(make([]byte, 0, size), buffer...)
		}
		n, err := body.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		if err == io.EOF {
			return buffer, nil
		}
		if err != nil {
			return buffer, err
		}
	}
	return buffer, nil
}
