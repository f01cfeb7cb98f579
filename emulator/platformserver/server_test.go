package platformserver_test

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/aws/aws-sdk-go-v2/credentials"
	"github.com/google/go-cmp/cmp"

	"github.com/bronzeyard/bronzeyard/emulator/platformserver"
	"github.com/bronzeyard/bronzeyard/storage"
	"github.com/bronzeyard/bronzeyard/storage/dynamo"
	"github.com/bronzeyard/bronzeyard/storage/httpsd"
	"github.com/bronzeyard/bronzeyard/storage/s3"
)

type clients struct {
	server  *platformserver.Server
	table   *dynamo.Table
	objects *s3.ObjectStore
	hosts   *httpsd.HostList
	url     string
}

func start(t *testing.T, timeout time.Duration) *clients {
	server := platformserver.New()
	listener := httptest.NewServer(server)
	t.Cleanup(listener.Close)
	provider := credentials.NewStaticCredentialsProvider("id", "secret", "")
	return &clients{
		server:  server,
		url:     listener.URL,
		table:   dynamo.New(dynamo.Options{Endpoint: listener.URL + platformserver.DynamoDBPath, TableName: "t", Credentials: provider, CallTimeout: timeout}),
		objects: s3.New(s3.Options{Endpoint: listener.URL + platformserver.S3Path, Bucket: "b", Credentials: provider, CallTimeout: timeout}),
		hosts:   httpsd.New(httpsd.Options{URL: listener.URL + platformserver.HostsPath, CallTimeout: timeout}),
	}
}

// longTimeout is never reached in a correct run.
const longTimeout = 30 * time.Second

func put(sort string, version uint64, condition storage.Condition) storage.Write {
	return storage.Write{
		Kind: storage.Put, Key: storage.Key{Partition: "p", Sort: sort}, Value: []byte{0, 0xff, 'x'},
		Version: version, WriteID: fmt.Sprintf("w-%s-%d", sort, version), Condition: condition,
	}
}

// Guards against a client that loses attributes, returns items out of key order, or drops pages of a long query.
func TestTableRoundTrip(t *testing.T) {
	c := start(t, longTimeout)
	const rows = 250
	for i := range rows {
		if err := c.table.Transact(t.Context(), []storage.Write{put(fmt.Sprintf("%03d", i), 1, storage.Condition{Kind: storage.Absent})}); err != nil {
			t.Fatal(err)
		}
	}
	item, err := c.table.Get(t.Context(), storage.Key{Partition: "p", Sort: "007"})
	want := storage.Item{Key: storage.Key{Partition: "p", Sort: "007"}, Value: []byte{0, 0xff, 'x'}, Version: 1, WriteID: "w-007-1"}
	if err != nil || !cmp.Equal(item, want) {
		t.Fatalf("%v\n%s", err, cmp.Diff(want, item))
	}
	if _, err := c.table.Get(t.Context(), storage.Key{Partition: "p", Sort: "none"}); !errors.Is(err, storage.ErrNotFound) {
		t.Fatalf("got %v, want not found", err)
	}
	for _, test := range []struct {
		after      string
		limit, got int
	}{{"", 1000, rows}, {"009", 1000, rows - 10}, {"", 120, 120}, {"249", 10, 0}} {
		items, err := c.table.Query(t.Context(), "p", test.after, test.limit)
		if err != nil || len(items) != test.got {
			t.Fatalf("after %q with limit %d: %d items, %v", test.after, test.limit, len(items), err)
		}
		for i := 1; i < len(items); i++ {
			if items[i-1].Key.Sort >= items[i].Key.Sort {
				t.Fatalf("%q comes before %q", items[i-1].Key.Sort, items[i].Key.Sort)
			}
		}
	}
}

// Guards against a client that does not send conditions, and against a ConflictError with the index of the wrong write.
func TestTableConditions(t *testing.T) {
	c := start(t, longTimeout)
	absent, second := storage.Condition{Kind: storage.Absent}, storage.Condition{Kind: storage.VersionIs, Version: 2}
	key := storage.Key{Partition: "p", Sort: "a"}
	if err := c.table.Transact(t.Context(), []storage.Write{put("a", 2, absent)}); err != nil {
		t.Fatal(err)
	}
	for name, test := range map[string]struct {
		writes []storage.Write
		index  int
	}{
		"present":       {[]storage.Write{put("b", 1, absent), put("a", 3, absent)}, 1},
		"other version": {[]storage.Write{put("a", 3, storage.Condition{Kind: storage.VersionIs, Version: 1})}, 0},
		"check":         {[]storage.Write{put("b", 1, absent), {Kind: storage.Check, Key: key, Condition: absent}}, 1},
		"delete":        {[]storage.Write{{Kind: storage.Delete, Key: key, Condition: storage.Condition{Kind: storage.VersionIs, Version: 7}}}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			var conflict *storage.ConflictError
			if err := c.table.Transact(t.Context(), test.writes); !errors.As(err, &conflict) || conflict.Index != test.index {
				t.Fatalf("got %v, want a conflict at write %d", err, test.index)
			}
		})
	}
	if err := c.table.Transact(t.Context(), []storage.Write{{Kind: storage.Delete, Key: key, Condition: second}}); err != nil {
		t.Fatal(err)
	}
	for _, sort := range []string{"a", "b"} {
		if _, err := c.table.Get(t.Context(), storage.Key{Partition: "p", Sort: sort}); !errors.Is(err, storage.ErrNotFound) {
			t.Fatalf("%s: got %v, want not found", sort, err)
		}
	}
}

// Guards against a client that reports a write as not applied although it may have been applied, and the reverse.
func TestWriteOutcomes(t *testing.T) {
	for name, test := range map[string]struct {
		inject func(*clients)
		want   error
		stored bool
	}{
		"one lost response is resolved": {func(c *clients) { c.server.Table.Faults.LoseResponses(1) }, nil, true},
		"one lost write is retried":     {func(c *clients) { c.server.Table.Faults.LoseWrites(1) }, nil, true},
		"two lost writes":               {func(c *clients) { c.server.Table.Faults.LoseWrites(2) }, storage.ErrUnknownOutcome, false},
		"status 503":                    {func(c *clients) { c.server.Table.Faults.SetDown(true) }, storage.ErrUnknownOutcome, false},
		"timeout":                       {func(c *clients) { c.server.Table.Faults.SetDelay(time.Hour) }, storage.ErrUnknownOutcome, false},
	} {
		t.Run(name, func(t *testing.T) {
			timeout := longTimeout
			if name == "timeout" {
				timeout = 100 * time.Millisecond
			}
			c := start(t, timeout)
			test.inject(c)
			err := c.table.Transact(t.Context(), []storage.Write{put("a", 1, storage.Condition{Kind: storage.Absent})})
			if !errors.Is(err, test.want) || errors.Is(err, storage.ErrUnavailable) {
				t.Fatalf("got %v, want %v", err, test.want)
			}
			c.server.Table.Faults.SetDown(false)
			c.server.Table.Faults.SetDelay(0)
			if _, err := c.server.Table.Get(t.Context(), storage.Key{Partition: "p", Sort: "a"}); (err == nil) != test.stored {
				t.Fatalf("stored: %v, want %v", err == nil, test.stored)
			}
		})
	}
	t.Run("no connection", func(t *testing.T) {
		listener := httptest.NewServer(http.NotFoundHandler())
		listener.Close()
		table := dynamo.New(dynamo.Options{Endpoint: listener.URL, TableName: "t", Credentials: credentials.NewStaticCredentialsProvider("id", "secret", "")})
		err := table.Transact(t.Context(), []storage.Write{put("a", 1, storage.Condition{})})
		if !errors.Is(err, storage.ErrUnavailable) || errors.Is(err, storage.ErrUnknownOutcome) {
			t.Fatalf("got %v, want unavailable: nothing was sent", err)
		}
	})
}

// Guards against objects that are altered in transit, and against an outage that is reported as a missing object.
func TestObjects(t *testing.T) {
	c := start(t, longTimeout)
	data := bytes.Repeat([]byte{0, 1, 0xff, '%'}, 1<<18)
	name := "settings/chunk/sha256 of+something%2F"
	if err := c.objects.Put(t.Context(), name, data); err != nil {
		t.Fatal(err)
	}
	if got, err := c.objects.Get(t.Context(), name); err != nil || !bytes.Equal(got, data) {
		t.Fatalf("%d bytes, %v", len(got), err)
	}
	if _, err := c.objects.Get(t.Context(), "none"); !errors.Is(err, storage.ErrNotFound) {
		t.Fatalf("got %v, want not found", err)
	}
	c.server.Objects.Faults.SetDown(true)
	if _, err := c.objects.Get(t.Context(), name); !errors.Is(err, storage.ErrUnavailable) || errors.Is(err, storage.ErrNotFound) {
		t.Fatalf("got %v, want unavailable", err)
	}
}

// Guards against a leaving host that is decoded as live, and against a malformed document that is accepted in part.
func TestHostList(t *testing.T) {
	c := start(t, longTimeout)
	want := []storage.ListedHost{{Address: "127.0.0.1:7", State: storage.HostLive}, {Address: "127.0.0.2", State: storage.HostLeaving}}
	c.server.Hosts.Set(want)
	got, err := c.hosts.Hosts(t.Context())
	if err != nil || !cmp.Equal(got, want) {
		t.Fatalf("%v, %v", got, err)
	}
	for _, hosts := range [][]storage.ListedHost{{{Address: "host.example:1"}}, {{Address: "127.0.0.1", State: "gone"}}} {
		c.server.Hosts.Set(hosts)
		if got, err := c.hosts.Hosts(t.Context()); err == nil {
			t.Fatalf("%v was accepted as %v", hosts, got)
		}
	}
}

// Guards against an admin endpoint that does not affect the service in the request, or that accepts unknown services or
// fields.
func TestAdmin(t *testing.T) {
	c := start(t, longTimeout)
	post := func(body string) int {
		response, err := http.Post(c.url+"/admin/faults", "application/json", bytes.NewBufferString(body))
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = response.Body.Close() }()
		return response.StatusCode
	}
	if status := post(`{"service":"hosts","down":true}`); status != http.StatusNoContent {
		t.Fatalf("status %d", status)
	}
	if _, err := c.hosts.Hosts(t.Context()); !errors.Is(err, storage.ErrUnavailable) {
		t.Fatalf("got %v, want unavailable", err)
	}
	for _, body := range []string{`{"service":"clock"}`, `{"service":"hosts","dwn":true}`} {
		if status := post(body); status != http.StatusBadRequest {
			t.Fatalf("%s: status %d", body, status)
		}
	}
}
