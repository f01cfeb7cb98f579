package peer

import (
	"bufio"
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"strings"
	"time"

	"github.com/hashicorp/yamux"
	"golang.org/x/sync/semaphore"
	"google.golang.org/protobuf/proto"

	"github.com/bronzeyard/bronzeyard/fleet"
	"github.com/bronzeyard/bronzeyard/fleet/peer/peerpb"
)

// Serve accepts sessions and answers calls until the context ends or the transport is closed. It returns nil then, and an
// error if it cannot listen.
func (t *Transport) Serve(ctx context.Context) error {
	listener, err := t.listen(ctx)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(t.ctx, cancel)
	defer stop()
	closeListener := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer closeListener()
	for {
		conn, err := listener.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return fmt.Errorf("peer: accept on %s: %w", listener.Addr(), err)
		}
		t.admit(ctx, conn)
	}
}

func (t *Transport) listen(ctx context.Context) (net.Listener, error) {
	if t.options.Listener != nil {
		return t.options.Listener, nil
	}
	return (&net.ListenConfig{}).Listen(ctx, "tcp", t.options.Listen)
}

// admit serves the connection unless there are too many.
func (t *Transport) admit(ctx context.Context, conn net.Conn) {
	if !t.sessions.TryAcquire(1) {
		t.options.Logger.Warn().Stringer("remote", conn.RemoteAddr()).Msg("too many peer sessions, connection closed")
		_ = conn.Close()
		return
	}
	started := t.launch(func() {
		defer t.sessions.Release(1)
		if err := t.serveConn(ctx, conn); err != nil {
			t.options.Logger.Warn().Stringer("remote", conn.RemoteAddr()).Err(err).Msg("peer session refused")
		}
	})
	if !started {
		t.sessions.Release(1)
		_ = conn.Close()
	}
}

// serveConn answers the calls of one session. It returns an error if no session came about.
func (t *Transport) serveConn(ctx context.Context, conn net.Conn) error {
	defer func() { _ = conn.Close() }()
	secured, err := t.accept(ctx, conn)
	if err != nil {
		return err
	}
	muxed, err := yamux.Server(secured, t.yamuxConfig())
	if err != nil {
		return err
	}
	s := &inboundSession{
		transport: t, names: namesOf(secured),
		calls: semaphore.NewWeighted(int64(t.options.MaxCallsPerSession)),
	}
	stop := context.AfterFunc(ctx, func() { _ = muxed.Close() })
	defer stop()
	defer func() { _ = muxed.Close() }()
	for {
		stream, err := muxed.AcceptStream()
		if err != nil {
			return nil //nolint:nilerr // The end of a session is no fault of this host.
		}
		// Refused streams stay open for up to StreamCloseTimeout; a peer that ignores refusals loses its session.
		if muxed.NumStreams() > 2*t.options.MaxCallsPerSession {
			return errors.New("peer: too many open streams")
		}
		s.start(ctx, stream)
	}
}

func (t *Transport) accept(ctx context.Context, conn net.Conn) (net.Conn, error) {
	if t.serverTLS == nil {
		return conn, nil
	}
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	secured := tls.Server(conn, t.serverTLS)
	return secured, secured.HandshakeContext(ctx)
}

// inboundSession answers the calls of one peer.
type inboundSession struct {
	transport *Transport
	names     names
	calls     *semaphore.Weighted
}

func (s *inboundSession) start(ctx context.Context, stream *yamux.Stream) {
	_ = stream.SetDeadline(time.Now().Add(readTimeout))
	if !s.calls.TryAcquire(1) {
		s.answer(stream, nil, errors.New("too many calls at a time"))
		_ = stream.Close()
		return
	}
	started := s.transport.launch(func() {
		defer s.calls.Release(1)
		defer func() { _ = stream.Close() }()
		s.serve(ctx, stream)
	})
	if !started {
		s.calls.Release(1)
		_ = stream.Close()
	}
}

// serve reads one request, handles it and writes the answer.
func (s *inboundSession) serve(ctx context.Context, stream *yamux.Stream) {
	r := bufio.NewReader(stream)
	header, err := readRequestHeader(r, s.transport.options.MaxMessageBytes)
	if err != nil {
		s.answer(stream, nil, err)
		return
	}
	length := int64(header.GetBodyBytes())
	if !s.transport.inbound.TryAcquire(length) {
		s.answer(stream, nil, errors.New("too many bytes of requests at a time"))
		return
	}
	defer s.transport.inbound.Release(length)
	s.transport.stats.handled.Add(1)
	resp, err := s.handle(ctx, stream, r, header)
	s.answer(stream, resp, err)
}

func (s *inboundSession) handle(
	ctx context.Context, stream *yamux.Stream, r *bufio.Reader, header *peerpb.RequestHeader,
) (proto.Message, error) {
	from := fleet.Identity{ID: fleet.HostID(header.GetHostId()), Incarnation: fleet.Incarnation(header.GetIncarnation())}
	if err := s.names.check(from.ID); err != nil {
		return nil, err
	}
	h, ok := s.transport.handler(Method(header.GetMethod()))
	if !ok {
		return nil, fmt.Errorf("method %q has no handler", header.GetMethod())
	}
	request := h.newRequest()
	if err := readBody(r, header.GetBodyBytes(), request); err != nil {
		return nil, err
	}
	left := min(header.GetTimeoutUs(), uint64(s.transport.options.MaxCallTime.Microseconds()))
	deadline := time.Now().Add(time.Duration(left) * time.Microsecond)
	_ = stream.SetDeadline(deadline)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	return h.handle(ctx, from, request)
}

// answer writes the outcome of a call. A failure to write shows at the caller as ErrNoAnswer.
func (s *inboundSession) answer(stream *yamux.Stream, resp proto.Message, err error) {
	var body []byte
	if err == nil {
		body, err = proto.Marshal(resp)
	}
	if err == nil && int64(len(body)) > s.transport.options.MaxMessageBytes {
		body, err = nil, errTooLarge
	}
	header := &peerpb.ResponseHeader{
		Status: uint32(statusOf(err)), HostId: string(s.transport.self.Load().ID), BodyBytes: uint64(len(body)),
	}
	if err != nil {
		header.Error = strings.ToValidUTF8(err.Error()[:min(len(err.Error()), maxErrorBytes)], "?")
	}
	frame, err := encode(header, body)
	if err != nil {
		return
	}
	_, _ = stream.Write(frame)
}
