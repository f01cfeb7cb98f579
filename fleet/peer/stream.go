package peer

import (
	"bufio"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
)

// Limits of idle streams. Opening and closing a stream takes as many frames as a call. Calls between hosts are small and
// frequent, so streams are reused.
const (
	// maxIdleStreams limits the idle streams of an outbound session.
	maxIdleStreams = 4
	// callerIdleStreamTimeout is the idle time after which the caller closes its least recently used stream at the next call.
	callerIdleStreamTimeout = time.Minute
	// serverIdleStreamTimeout is how long the called host keeps an idle stream. It is longer than callerIdleStreamTimeout,
	// so that the caller seldom uses a stream that is being closed.
	serverIdleStreamTimeout = 2 * time.Minute
)

// callStream is a stream that carries one call at a time. It is reused only after an exchange that both sides completed, so
// that no call can get the response of another one.
type callStream struct {
	*yamux.Stream
	reader    *bufio.Reader
	idleSince time.Time
}

func newCallStream(stream *yamux.Stream) *callStream {
	return &callStream{Stream: stream, reader: bufio.NewReader(stream)}
}

// idleStreams are the streams of an outbound session that carry no call, ordered by the time of their last use.
type idleStreams struct {
	mu      sync.Mutex
	streams []*callStream
}

// take returns the most recently used stream, or nil if there is none. It closes the least recently used one if that has been
// idle for longer than callerIdleStreamTimeout.
func (s *idleStreams) take() *callStream {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.streams) > 0 && time.Since(s.streams[0].idleSince) > callerIdleStreamTimeout {
		s.closeOldest()
	}
	last := len(s.streams) - 1
	if last < 0 {
		return nil
	}
	stream := s.streams[last]
	s.streams = s.streams[:last]
	return stream
}

func (s *idleStreams) put(stream *callStream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	stream.idleSince = time.Now()
	s.streams = append(s.streams, stream)
	if len(s.streams) > maxIdleStreams {
		s.closeOldest()
	}
}

// closeOldest closes the least recently used stream. The caller must hold the lock.
func (s *idleStreams) closeOldest() {
	_ = s.streams[0].Close()
	s.streams = append(s.streams[:0], s.streams[1:]...)
}
