package peer

import (
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

// Serve accepts sessions and serves calls until the context ends or the transport is closed, and then returns nil. It returns
// an error if it cannot listen or accept.
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

// admit starts serving a connection, or closes it if there are MaxSessions already.
func (t *Transport) admit(ctx context.Context, conn net.Conn) {
	if !t.sessions.TryAcquire(1) {
		t.options.Logger.Warn().Stringer("remote", conn.RemoteAddr()).Msg("too many inbound peer sessions; connection closed")
		_ = conn.Close()
		return
	}
	started := t.runTask(func() {
		defer t.sessions.Release(1)
		if err := t.serveConn(ctx, conn); err != nil {
			t.options.Logger.Warn().Stringer("remote", conn.RemoteAddr()).Err(err).Msg("inbound peer session rejected")
		}
	})
	if !started {
		t.sessions.Release(1)
		_ = conn.Close()
	}
}

// serveConn serves the calls of one session. It returns an error if the session could not be set up or had too many open
// streams.
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
		transport: t, certNames: certNamesOf(secured),
		calls: semaphore.NewWeighted(int64(t.options.MaxCallsPerSession)),
	}
	stop := context.AfterFunc(ctx, func() { _ = muxed.Close() })
	defer stop()
	defer func() { _ = muxed.Close() }()
	for {
		stream, err := muxed.AcceptStream()
		if err != nil {
			return nil //nolint:nilerr // A session that ends is not an error of this host.
		}
		// Streams of rejected calls stay open for up to StreamCloseTimeout. Close the session of a peer that opens new ones
		// regardless.
		if muxed.NumStreams() > 2*t.options.MaxCallsPerSession {
			return errors.New("peer: too many open streams on the session")
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

// inboundSession serves the calls of one session that a peer opened.
type inboundSession struct {
	transport *Transport
	certNames certNames
	calls     *semaphore.Weighted
}

// start serves the calls of a stream, one after another.
func (s *inboundSession) start(ctx context.Context, opened *yamux.Stream) {
	stream := newCallStream(opened)
	started := s.transport.runTask(func() {
		defer func() { _ = stream.Close() }()
		_ = stream.SetDeadline(time.Now().Add(readTimeout))
		for s.serveNext(ctx, stream) {
			_ = stream.SetDeadline(time.Now().Add(serverIdleStreamTimeout))
		}
	})
	if !started {
		_ = stream.Close()
	}
}

// serveNext waits for a request and serves it. It reports whether the stream can carry another call.
func (s *inboundSession) serveNext(ctx context.Context, stream *callStream) bool {
	if _, err := stream.reader.Peek(1); err != nil {
		return false
	}
	_ = stream.SetDeadline(time.Now().Add(readTimeout))
	if !s.calls.TryAcquire(1) {
		return s.respond(stream, nil, errors.New("too many concurrent calls on the session"))
	}
	defer s.calls.Release(1)
	return s.serve(ctx, stream)
}

// serve reads one request, handles it and writes the response. It reports whether the stream can carry another call.
func (s *inboundSession) serve(ctx context.Context, stream *callStream) bool {
	header, err := readRequestHeader(stream.reader, s.transport.options.MaxMessageBytes)
	if err != nil {
		return s.respond(stream, nil, err)
	}
	length := int64(header.GetBodyBytes())
	if !s.transport.inbound.TryAcquire(length) {
		return s.respond(stream, nil, errors.New("requests in progress exceed the limit of inbound bytes"))
	}
	defer s.transport.inbound.Release(length)
	s.transport.stats.handled.Add(1)
	resp, err := s.handle(ctx, stream, header)
	return s.respond(stream, resp, err)
}

func (s *inboundSession) handle(
	ctx context.Context, stream *callStream, header *peerpb.RequestHeader,
) (proto.Message, error) {
	from := fleet.Identity{ID: fleet.HostID(header.GetHostId()), Incarnation: fleet.Incarnation(header.GetIncarnation())}
	if err := s.certNames.verify(from.ID); err != nil {
		return nil, err
	}
	h, ok := s.transport.handler(Method(header.GetMethod()))
	if !ok {
		return nil, fmt.Errorf("method %q has no handler", header.GetMethod())
	}
	request := h.newRequest()
	if err := readBody(stream.reader, header.GetBodyBytes(), request); err != nil {
		return nil, err
	}
	left := min(header.GetTimeoutUs(), uint64(s.transport.options.MaxCallTimeout.Microseconds()))
	deadline := time.Now().Add(time.Duration(left) * time.Microsecond)
	_ = stream.SetDeadline(deadline)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	return h.handle(ctx, from, request)
}

// respond writes the response of a call. If the write fails, the caller gets ErrNoResponse. It reports whether the call
// succeeded. Only then can the stream carry another call, because the request was read to its end.
func (s *inboundSession) respond(stream *callStream, resp proto.Message, err error) bool {
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
	frame, encodeErr := encode(header, body)
	if encodeErr != nil {
		return false
	}
	_, writeErr := stream.Write(frame)
	return err == nil && writeErr == nil
}
