package gossip

import (
	"context"
	"fmt"
	"net"
	"reflect"
	"slices"
	"sync"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/bronzeyard/bronzeyard/gateway/breaker"
	"github.com/bronzeyard/bronzeyard/gateway/gossip/gossippb"
	"github.com/bronzeyard/bronzeyard/gateway/placement"
	"github.com/bronzeyard/bronzeyard/gateway/quota"
	"github.com/bronzeyard/bronzeyard/gateway/registry"
	"github.com/bronzeyard/bronzeyard/settings"
)

// peer is a node on loopback that collects what it hears.
type peer struct {
	node *Node
	conn net.PacketConn

	mu      sync.Mutex
	heard   []*Message
	unknown []string
}

func newPeer(t *testing.T, id, dataCentre string) *peer { return newPeerInFleet(t, id, dataCentre, 0) }

// newPeerInFleet returns a peer that uses hubs from that number of other hosts on.
func newPeerInFleet(t *testing.T, id, dataCentre string, hubFleet int) *peer {
	t.Helper()
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &peer{conn: conn}
	none := func(time.Time, bool) []quota.Use { return nil }
	p.node = New(Options{
		Self: Record{
			ID: id, Incarnation: 7, Address: conn.LocalAddr().String(), CallerAddress: "127.0.0.1:1", DataCentre: dataCentre,
			Key: NewKey(),
		},
		Conn: conn, Configuration: func() (uint64, time.Duration) { return 12, 3 * time.Second }, Retries: none,
		Registry: func(time.Time) RegistryState {
			return RegistryState{
				Digest: 99, Age: 40 * time.Millisecond, Settled: true, Version: 5,
				Delta: &registry.Delta{
					Base: 98, Removed: []settings.UpstreamID{"gone"},
					Put: []registry.Entry{{Service: "desk", Upstream: settings.Upstream{
						ID: "new", Address: "10.0.0.1:80", DataCentre: "north", Slots: 3, Leaving: true,
					}}},
				},
			}
		},
		Uses: func(_ time.Time, onlyNear bool) []quota.Use {
			if onlyNear {
				return nil
			}
			return []quota.Use{{Customer: "c", Admitted: 5, Asked: 6, Tokens: -3}}
		},
		Receive: func(_ time.Time, m *Message) {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.heard = append(p.heard, m)
		},
		Found: func(string) {},
		Unknown: func(host string) {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.unknown = append(p.unknown, host)
		},
		Returned: func(string) {}, HubFleet: hubFleet,
	})
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		p.node.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	return p
}

func (p *peer) from(id string) []*Message {
	p.mu.Lock()
	defer p.mu.Unlock()
	var messages []*Message
	for _, m := range p.heard {
		if m.Host == id {
			messages = append(messages, m)
		}
	}
	return messages
}

func introduce(peers ...*peer) {
	var records []Record
	for _, p := range peers {
		records = append(records, p.node.options.Self)
	}
	for _, p := range peers {
		p.node.Update(time.Now(), records)
	}
}

func eventually(t *testing.T, what string, done func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !done(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("timed out waiting until " + what)
		}
	}
}

// Guards against fields that are written and not read (the digest of the upstreams was, for a time).
func TestEveryFieldArrives(t *testing.T) {
	a, b := newPeer(t, "a", "north"), newPeer(t, "b", "north")
	introduce(a, b)
	a.node.TellLoad(placement.LoadReport{Upstream: "u", Load: 1.5})
	a.node.Tell([]breaker.Notice{{Kind: breaker.NoticeSample, Upstream: "u", Sample: breaker.ErrorStatus}})
	a.node.Leave()
	var notices []breaker.Notice
	var uses []quota.Use
	var loads []placement.LoadReport
	eventually(t, "all has arrived", func() bool {
		notices, uses, loads = nil, nil, nil
		for _, m := range b.from("a") {
			notices, uses, loads = append(notices, m.Notices...), append(uses, m.Uses...), append(loads, m.Loads...)
		}
		return len(notices) > 0 && len(uses) > 0 && len(loads) > 0
	})
	last := b.from("a")[len(b.from("a"))-1]
	if last.Configuration != 12 || last.Registry.Digest != 99 || last.Registry.Age < 40*time.Millisecond || !last.Registry.Settled || !last.Leaving {
		t.Errorf("the state of the host arrived as %+v", last)
	}
	if delta := last.Registry.Delta; delta == nil || delta.Base != 98 || last.Registry.Version != 5 ||
		!reflect.DeepEqual(delta.Removed, []settings.UpstreamID{"gone"}) || len(delta.Put) != 1 ||
		delta.Put[0] != (registry.Entry{Service: "desk", Upstream: settings.Upstream{
			ID: "new", Address: "10.0.0.1:80", DataCentre: "north", Slots: 3, Leaving: true,
		}}) {
		t.Errorf("the difference between two reads arrived as %+v", delta)
	}
	if want := (quota.Use{Customer: "c", Admitted: 5, Asked: 6, Tokens: -3}); uses[0] != want {
		t.Errorf("a use arrived as %+v", uses[0])
	}
	if want := (breaker.Notice{Kind: breaker.NoticeSample, Upstream: "u", Sample: breaker.ErrorStatus}); notices[0] != want {
		t.Errorf("a notice arrived as %+v", notices[0])
	}
	if want := (placement.LoadReport{Upstream: "u", Load: 1.5}); !reflect.DeepEqual(loads[0], want) {
		t.Errorf("a load arrived as %+v", loads[0])
	}
	if hosts := b.node.Hosts(time.Now()); len(hosts) != 1 || !hosts[0].Leaving {
		t.Errorf("hosts are %+v", hosts)
	}
}

// Guards against bytes between data centres: a datagram crosses to one host of each and is passed on there, once to each.
func TestDatagramsArePassedOnWithinADataCentre(t *testing.T) {
	a := newPeer(t, "a", "north")
	b, c, d := newPeer(t, "b", "south"), newPeer(t, "c", "south"), newPeer(t, "d", "south")
	introduce(a, b, c, d)
	a.node.Tell([]breaker.Notice{{Kind: breaker.NoticeTrialStarted, Upstream: "u"}})
	for _, p := range []*peer{b, c, d} {
		eventually(t, "a notice has reached all hosts", func() bool {
			for _, m := range p.from("a") {
				if len(m.Notices) > 0 {
					return true
				}
			}
			return false
		})
		sequences := make(map[uint64]bool)
		for _, m := range p.from("a") {
			if sequences[m.Sequence] {
				t.Errorf("datagram %d was taken twice", m.Sequence)
			}
			sequences[m.Sequence] = true
		}
	}
}

// Guards against a flood in the other data centre: each host there passed on what had been passed on to it, so a datagram
// came as often as there are hosts, and with 16 hosts in a data centre this took most of a host's processor time.
func TestDatagramsArePassedOnOnce(t *testing.T) {
	const hosts, sends = 8, 20
	a := newPeer(t, "a", "north")
	peers := []*peer{a}
	for i := range hosts {
		peers = append(peers, newPeer(t, fmt.Sprint("b", i), "south"))
	}
	introduce(peers...)
	for range sends {
		a.node.Tell([]breaker.Notice{{Kind: breaker.NoticeTrialStarted, Upstream: "u"}})
		time.Sleep(2 * coalesceNotices)
	}
	newest := a.node.sequence.Load()
	for _, p := range peers[1:] {
		eventually(t, "the last datagram has reached all hosts", func() bool {
			return slices.ContainsFunc(p.from("a"), func(m *Message) bool { return m.Sequence >= newest })
		})
	}
	time.Sleep(10 * coalesceNotices) // for the copies of the last one
	copies := int64(0)
	for _, p := range peers[1:] {
		_, _, repeated := p.node.Counters()
		copies += repeated
	}
	if most := int64(a.node.sequence.Load()) * hosts * (relaysSomeSilent - 1); copies > most {
		t.Errorf("%d hosts got %d copies of %d datagrams, want %d at most", hosts, copies, newest, most)
	}
}

// Guards against forged, changed, repeated and unreadable datagrams.
func TestUnverifiedDatagramsAreDropped(t *testing.T) {
	a, b := newPeer(t, "a", "north"), newPeer(t, "b", "north")
	introduce(a, b)
	eventually(t, "the hosts know each other", func() bool { return len(b.from("a")) > 0 })
	body, err := proto.Marshal(&gossippb.Datagram{Host: "a", Incarnation: 7, Sequence: 1 << 40, Leaving: true})
	if err != nil {
		t.Fatal(err)
	}
	key := a.node.options.Self.Key
	good := seal(key, body)
	changed := append([]byte(nil), good...)
	changed[len(changed)-1] ^= 1
	for name, packet := range map[string][]byte{
		"another key": seal(NewKey(), body), "changed": changed, "short": good[:10], "empty": {},
		"unreadable": seal(key, []byte{0xff}),
	} {
		b.node.deliver(packet)
		if hosts := b.node.Hosts(time.Now()); hosts[0].Leaving {
			t.Errorf("%s: the datagram was taken", name)
		}
	}
	b.node.deliver(good)
	b.node.deliver(good)
	taken := 0
	for _, m := range b.from("a") {
		if m.Sequence == 1<<40 {
			taken++
		}
	}
	if taken != 1 {
		t.Errorf("a datagram that came twice was taken %d times", taken)
	}
}

// Guards against a host that restarts and is not heard, because its key has changed: its record is read again.
func TestUnknownIncarnationIsReported(t *testing.T) {
	b := newPeer(t, "b", "north")
	body, err := proto.Marshal(&gossippb.Datagram{Host: "a", Incarnation: 8, Sequence: 1})
	if err != nil {
		t.Fatal(err)
	}
	b.node.deliver(seal(NewKey(), body))
	if len(b.unknown) != 0 {
		t.Errorf("%v count as unknown before they could introduce themselves", b.unknown)
	}
	time.Sleep(introduceWithin)
	b.node.deliver(seal(NewKey(), body))
	if len(b.unknown) != 1 || b.unknown[0] != "a" {
		t.Errorf("unknown hosts are %v", b.unknown)
	}
}

// Guards against a read of the store by each host for each start of another: a host that starts introduces itself to those
// that it knows, also in another data centre.
func TestStartingHostIntroducesItself(t *testing.T) {
	fleet := []*peer{newPeer(t, "a", "north"), newPeer(t, "b", "north"), newPeer(t, "c", "south"), newPeer(t, "d", "south")}
	introduce(fleet...)
	fresh := newPeer(t, "e", "north")
	var records []Record
	for _, p := range fleet {
		records = append(records, p.node.options.Self)
	}
	fresh.node.Update(time.Now(), records)
	fresh.node.Introduce()
	for _, p := range fleet {
		eventually(t, "the host that started is heard", func() bool { return len(p.from("e")) > 0 })
		if len(p.unknown) > 0 {
			t.Errorf("%s must read the records of %v", p.node.options.Self.ID, p.unknown)
		}
	}
}

// Guards against a host that nobody believes in any more because an old introduction came late or was sent again, and
// against records from somebody who has not read the store.
func TestOldAndForgedIntroductionsAreDropped(t *testing.T) {
	a, b := newPeer(t, "a", "north"), newPeer(t, "b", "north")
	introduce(a, b)
	second := a.node.options.Self
	second.Incarnation, second.Key = 8, NewKey()
	b.node.Update(time.Now(), []Record{second})
	old, err := a.node.Record()
	if err != nil {
		t.Fatal(err)
	}
	packet := seal(b.node.options.Self.Key, old)
	packet[0] = byte(introduction)
	b.node.deliver(packet)
	forged := second
	forged.Incarnation = 9
	body, err := forged.Encode()
	if err != nil {
		t.Fatal(err)
	}
	packet = seal(NewKey(), body)
	packet[0] = byte(introduction)
	b.node.deliver(packet)
	if _, _, known := b.node.table.find("a", 8); !known {
		t.Error("the newest start of the host is not known any more")
	}
}

func FuzzRecord(f *testing.F) {
	f.Add([]byte(`{"id":"a","incarnation":1,"address":"127.0.0.1:1","caller_address":"127.0.0.1:2","data_centre":"n","key":"AAAAAAAAAAAAAAAAAAAAAA=="}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		if r, err := DecodeRecord(data); err == nil && (r.ID == "" || len(r.Key) < keyBytes) {
			t.Errorf("accepted %+v", r)
		}
	})
}
