package storage_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/aws/aws-sdk-go-v2/aws"

	"github.com/bronzeyard/bronzeyard/storage"
	"github.com/bronzeyard/bronzeyard/storage/dynamo"
	"github.com/bronzeyard/bronzeyard/storage/httpsd"
	"github.com/bronzeyard/bronzeyard/storage/s3"
)

const (
	// longObject does not fit into the socket buffers of a connection, and neither do manyWrites of values of longValue.
	longObject = 8 << 20
	longValue  = 256 << 10
	manyWrites = 16
	// resetRounds is the number of calls in which the reader and the writer of a connection race for its reset.
	resetRounds = 20
	// readBufferBytes is the size of the read buffers of a service that does not read requests.
	readBufferBytes = 4 << 10
)

// serveEarly responds to each request with a text, without reading its body, and then ends the connection, with a reset if reset is true.
// It returns the URL.
func serveEarly(t *testing.T, text string, reset bool) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			_ = conn.(*net.TCPConn).SetReadBuffer(readBufferBytes)
			if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				_, _ = conn.Write([]byte(text))
			}
			if reset {
				time.Sleep(time.Millisecond)
				_ = conn.(*net.TCPConn).SetLinger(0)
			}
			_ = conn.Close()
		}
	}()
	return "http://" + listener.Addr().String()
}

var testCredentials = aws.CredentialsProviderFunc(func(context.Context) (aws.Credentials, error) {
	return aws.Credentials{AccessKeyID: "id", SecretAccessKey: "secret"}, nil
})

// earlySuccesses are responses that an unsound service sends before it has read a request.
var earlySuccesses = map[string]string{
	"without length":             "HTTP/1.1 200 OK\r\n\r\n",
	"part of one without length": "HTTP/1.1 200 OK\r\n\r\n{",
	"cut":                        "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n{",
	"status 000":                 "HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\n{}",
}

// Guards against an object that counts as stored although the service has not read it: the service responds at once with a success and
// resets the connection while the object is still being written.
func TestPutIsNotDoneByEarlySuccess(t *testing.T) {
	for name, text := range earlySuccesses {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			objects := s3.New(s3.Options{Endpoint: serveEarly(t, text, true), Bucket: "b", Credentials: testCredentials})
			for range resetRounds {
				if err := objects.Put(t.Context(), "a", make([]byte, longObject)); !errors.Is(err, storage.ErrUnavailable) {
					t.Errorf("Put returned %v, want %v", err, storage.ErrUnavailable)
				}
			}
		})
	}
}

// Guards against the same for a transaction.
func TestTransactionIsNotDoneByEarlySuccess(t *testing.T) {
	var writes []storage.Write
	for i := range manyWrites {
		writes = append(writes, storage.Write{
			Kind: storage.Put, Key: storage.Key{Partition: "p", Sort: fmt.Sprint(i)}, Value: make([]byte, longValue), Version: 1, WriteID: "w",
			Condition: storage.Condition{Kind: storage.Absent},
		})
	}
	for name, text := range earlySuccesses {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			table := dynamo.New(dynamo.Options{Endpoint: serveEarly(t, text, true), TableName: "t", Credentials: testCredentials})
			for range resetRounds {
				if err := table.Transact(t.Context(), writes); !errors.Is(err, storage.ErrUnknownOutcome) {
					t.Errorf("Transact returned %v, want %v", err, storage.ErrUnknownOutcome)
				}
			}
		})
	}
}

// Guards against a part of the list of hosts that is taken for the whole, and against one in a response whose status is not defined. A list
// without a length ends with the connection, so that its content must show that it is whole.
func TestBrokenListOfHostsIsNotUsed(t *testing.T) {
	const list = `[{"targets":["10.0.0.1","10.0.0.2"]}]`
	texts := []string{"HTTP/1.1 000 OK\r\nContent-Length: 37\r\n\r\n" + list}
	for n := range len(list) {
		texts = append(texts, "HTTP/1.1 200 OK\r\n\r\n"+list[:n])
	}
	for _, text := range texts {
		hosts, err := httpsd.New(httpsd.Options{URL: serveEarly(t, text, false)}).Hosts(t.Context())
		if err == nil {
			t.Errorf("response %q: %d hosts, want an error", text, len(hosts))
		}
	}
}
