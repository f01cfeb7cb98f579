package gossip

import (
	"testing"
	"time"
)

// Guards the users' reports of a key that is in use again after a restart, and of a process that acts late: a host read the
// records, was slow or paused, and heard the introduction of a host that had started again before it took what it had read.
// The record of the earlier start, and its key, must not replace the newer one.
func TestStoreReadDoesNotReplaceNewerIntroduction(t *testing.T) {
	for name, known := range map[string]bool{"the earlier start was known": true, "it was not known": false} {
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
				t.Error("the key of the earlier start counts again")
			}
			if _, _, ok := b.node.table.find("a", second.Incarnation); !ok {
				t.Error("the host that has started again is not known any more")
			}
			third := earlier
			third.Incarnation = 9
			b.node.Update(time.Now(), []Record{third})
			if _, _, ok := b.node.table.find("a", third.Incarnation); !ok {
				t.Error("a read that began after the introduction is not taken")
			}
		})
	}
}
