package gossip

import (
	"testing"
	"time"
)

// Guards against an old key that is accepted again after a restart, and against a delayed process that acts on old data (both
// reported by users). A host read the records and was slow or paused. Before it processed them, it received the introduction of
// a restarted host. The record and the key of the earlier incarnation must not replace the newer ones.
func TestStoreReadDoesNotReplaceNewerIntroduction(t *testing.T) {
	for name, known := range map[string]bool{"earlier incarnation known": true, "earlier incarnation unknown": false} {
		t.Run(name, func(t *testing.T) {
			a, b := newPeer(t, "a", "north"), newPeer(t, "b", "north")
			earlier := a.node.options.Self
			if known {
				b.node.Update(time.Now(), []Record{earlier})
			}
			readAt := time.Now()
			second := earlier
			second.Incarnation, second.Key = 8, NewKey()
			body, err := second.Encode()
			if err != nil {
				t.Fatal(err)
			}
			packet := newPacket(b.node.options.Self.Key, body)
			packet[0] = byte(packetIntroduction)
			b.node.deliver(packet)
			b.node.Update(readAt, []Record{earlier})
			if _, _, ok := b.node.table.find("a", earlier.Incarnation); ok {
				t.Error("the key of the earlier incarnation is accepted again")
			}
			if _, _, ok := b.node.table.find("a", second.Incarnation); !ok {
				t.Error("the newer incarnation of the host is no longer known")
			}
			third := earlier
			third.Incarnation = 9
			b.node.Update(time.Now(), []Record{third})
			if _, _, ok := b.node.table.find("a", third.Incarnation); !ok {
				t.Error("the record from a read that began after the introduction was ignored")
			}
		})
	}
}
