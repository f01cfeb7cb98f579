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

// The progress of a call. It leaves callPending only once: the writer sets callWritten, or the caller sets callAbandoned.
const (
	callPending int32 = iota
	callWritten
	callAbandoned
)

// call is one request and its response on a session.
type call struct {
	session  *session
	frame    []byte
	maxBody  int64
	deadline time.Time
	progress atomic.Int32
	done     chan error
	resp     proto.Message
}

// Call implements Caller. It returns ErrNotSent if the context has no deadline.
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
		// Close waits for the goroutines of the session, and the caller must not wait for them.
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
		return nil, fmt.Errorf("%w: request %q has %d bytes, at most %d", errTooLarge, method, len(body), t.options.MaxMessageBytes)
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

// wait returns the result of the exchange. If the context ends first, it returns ErrNotSent if no byte was written, and else
// ErrNoResponse.
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

// exchange makes the call on an idle stream or a new one. It keeps the stream after a successful call and closes it after
// any other, as the called host does.
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

// exchangeOn writes the request and reads the response.
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

// noResponse joins ErrNoResponse with err, or with context.DeadlineExceeded if the call's deadline has passed, whatever error
// yamux returned.
func noResponse(err error, deadline time.Time) error {
	if !time.Now().Before(deadline) {
		return errors.Join(ErrNoResponse, context.DeadlineExceeded)
	}
	return errors.Join(ErrNoResponse, err)
}
