package cleanclose

import (
	"errors"
	"io"
	"net"
	"testing"
	"time"
)

// rounds is the number of connections on which a read and a write race for a reset.
const rounds = 100

// connect returns a Conn and the other side of it, which reads nothing.
func connect(t *testing.T) (*Conn, *net.TCPConn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	conn, err := DialContext(&net.Dialer{})(t.Context(), "tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	peer, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = peer.Close() })
	return conn.(*Conn), peer.(*net.TCPConn)
}

// exchange writes without an end while it reads to the end. It returns what was read, the error that ended the read, and that of the write.
func exchange(conn *Conn) (text string, readErr, writeErr error) {
	ended := make(chan error)
	go func() {
		var err error
		for chunk := make([]byte, 32<<10); err == nil; {
			_, err = conn.Write(chunk)
		}
		ended <- err
	}()
	buffer := make([]byte, 100)
	for readErr == nil {
		n := 0
		n, readErr = conn.Read(buffer)
		text += string(buffer[:n])
	}
	if errors.Is(readErr, io.EOF) {
		_ = conn.Close() // as http.Transport does, which ends the write
	}
	return text, readErr, <-ended
}

// Guards against a reset that a read reports as a proper end because a write has found it.
func TestResetIsNoEnd(t *testing.T) {
	for n := range rounds {
		conn, peer := connect(t)
		_, _ = io.WriteString(peer, "part")
		time.AfterFunc(time.Duration(n%4)*time.Millisecond, func() {
			_ = peer.SetLinger(0)
			_ = peer.Close()
		})
		if text, readErr, writeErr := exchange(conn); errors.Is(readErr, io.EOF) {
			t.Errorf("round %d: the read of %q ended with %v, the write with %v", n, text, readErr, writeErr)
		}
	}
}

// Guards against a proper close that is taken for a reset, and against a read that waits for a write that does not end. The other side closes
// both directions in some rounds, so that it answers later data with a reset.
func TestProperCloseIsEnd(t *testing.T) {
	for n := range rounds {
		conn, peer := connect(t)
		_, _ = io.WriteString(peer, "whole")
		time.AfterFunc(time.Duration(n%4)*time.Millisecond, func() {
			_ = peer.CloseWrite()
			if n%2 == 0 {
				time.Sleep(time.Millisecond)
				_ = peer.Close()
			}
		})
		if text, readErr, writeErr := exchange(conn); !errors.Is(readErr, io.EOF) || text != "whole" {
			t.Errorf("round %d: the read of %q ended with %v, the write with %v; want %v", n, text, readErr, writeErr, io.EOF)
		}
	}
}

// Guards against a reset and a proper close that are mixed up if nothing is read until the write has failed. The other side resets the
// connection, or closes its side properly and answers later data with a reset.
func TestReadAfterFailedWrite(t *testing.T) {
	for n := range rounds {
		reset := n%2 == 0
		conn, peer := connect(t)
		_, _ = io.WriteString(peer, "sent")
		time.AfterFunc(time.Duration(n%4)*time.Millisecond, func() {
			if reset {
				_ = peer.SetLinger(0)
			} else {
				_ = peer.CloseWrite()
			}
			_ = peer.Close()
		})
		var writeErr error
		for chunk := make([]byte, 32<<10); writeErr == nil; {
			_, writeErr = conn.Write(chunk)
		}
		text, readErr := io.ReadAll(conn) // without an error, the read has ended with io.EOF
		if proper := readErr == nil; proper == reset || string(text) != "sent" {
			t.Errorf("round %d, reset %v: the read of %q ended with %v, the write with %v", n, reset, text, readErr, writeErr)
		}
	}
}
