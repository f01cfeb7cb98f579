package peer

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/bronzeyard/bronzeyard/fleet"
	"github.com/bronzeyard/bronzeyard/fleet/peer/peerpb"
)

// The progress of a call. Only one side can move it from waiting: the writer to written, or the caller to abandoned.
const (
	callPending int32 = iota
	callWritten
	callAbandoned
)

// call is one exchange on a session.
type call struct {
	session  *session
	frame    []byte
	maxBody  int64
	deadline time.Time
	progress atomic.Int32
	done     chan error
	resp     proto.Message
}

// Call implements Caller. It returns ErrNotSent without a deadline on the context.
func (t *Transport) Call(ctx context.Context, address string, method Method, req, resp proto.Message) error {
	err := t.call(ctx, address, method, req, resp)
	t.stats.count(err)
	return err
}

func (t *Transport) call(ctx context.Context, address string, method Method, req, resp proto.Message) error {
	deadline, ok := ctx.Deadline()
	if !ok {
		return fmt.Errorf("%w: the context of a call to %q has no deadline", ErrNotSent, method)
	}
	l, err := t.link(address)
	if err != nil {
		return errors.Join(ErrNotSent, err)
	}
	s, err := l.session(ctx)
	if err != nil {
		return fmt.Errorf("%w to %s: %w", ErrNotSent, address, err)
	}
	frame, err := t.requestFrame(method, deadline, req)
	if err != nil {
		return errors.Join(ErrNotSent, err)
	}
	c := &call{
		session: s, frame: frame, maxBody: t.options.MaxMessageBytes, deadline: deadline,
		done: make(chan error, 1), resp: resp.ProtoReflect().New().Interface(),
	}
	reads := s.conn.reads.Load()
	if !t.runTask(func() { c.done <- c.exchange() }) {
		return errors.Join(ErrNotSent, errClosed)
	}
	err = c.wait(ctx)
	if errors.Is(err, context.DeadlineExceeded) && s.staleSince(reads, t.options.StaleSessionTimeout) {
		t.stats.staleSessions.Add(1)
		// Closing waits for the session's goroutines, which the caller must not.
		t.runTask(func() { _ = s.Close() })
	}
	if err == nil {
		proto.Merge(resp, c.resp)
	}
	return err
}

func (t *Transport) requestFrame(method Method, deadline time.Time, req proto.Message) ([]byte, error) {
	body, err := proto.Marshal(req)
	if err != nil {
		return nil, err
	}
	if int64(len(body)) > t.options.MaxMessageBytes {
		return nil, fmt.Errorf("%w: request %q has %d bytes", errTooLarge, method, len(body))
	}
	left := time.Until(deadline)
	if left <= 0 {
		return nil, context.DeadlineExceeded
	}
	self := t.self.Load()
	return encode(&peerpb.RequestHeader{
		Method: string(method), HostId: string(self.ID), Incarnation: uint64(self.Incarnation),
		TimeoutUs: uint64(left.Microseconds()), BodyBytes: uint64(len(body)),
	}, body)
}

// wait returns the result of the exchange or, when the context ends first, what is known about it.
func (c *call) wait(ctx context.Context) error {
	select {
	case err := <-c.done:
		return err
	case <-ctx.Done():
	}
	if c.progress.CompareAndSwap(callPending, callAbandoned) {
		return errors.Join(ErrNotSent, ctx.Err())
	}
	return errors.Join(ErrNoResponse, ctx.Err())
}

// exchange makes the call on an idle stream or a new one. The stream is kept after a call that succeeded; the called side
// closes it after any other.
func (c *call) exchange() error {
	stream := c.session.idle.take()
	if stream == nil {
		opened, err := c.session.OpenStream()
		if err != nil {
			return errors.Join(ErrNotSent, err)
		}
		stream = newCallStream(opened)
	}
	if err := c.exchangeOn(stream); err != nil {
		_ = stream.Close()
		return err
	}
	c.session.idle.put(stream)
	return nil
}

// exchangeOn writes the request and reads the answer.
func (c *call) exchangeOn(stream *callStream) error {
	_ = stream.SetDeadline(c.deadline)
	if !c.progress.CompareAndSwap(callPending, callWritten) {
		return ErrNotSent
	}
	if _, err := stream.Write(c.frame); err != nil {
		return noResponse(err, c.deadline)
	}
	r := stream.reader
	header, err := readResponseHeader(r, c.maxBody)
	if err != nil {
		return noResponse(err, c.deadline)
	}
	if err := c.session.certNames.verify(fleet.HostID(header.GetHostId())); err != nil {
		return errors.Join(ErrNoResponse, err)
	}
	if err := errorOf(Status(header.GetStatus()), header.GetError()); err != nil {
		return err
	}
	if err := readBody(r, header.GetBodyBytes(), c.resp); err != nil {
		return noResponse(err, c.deadline)
	}
	return nil
}

// noAnswer adds context.DeadlineExceeded if the stream's deadline ended the exchange, whatever error yamux returned.
func noResponse(err error, deadline time.Time) error {
	if !time.Now().Before(deadline) {
		return errors.Join(ErrNoResponse, context.DeadlineExceeded)
	}
	return errors.Join(ErrNoResponse, err)
}
