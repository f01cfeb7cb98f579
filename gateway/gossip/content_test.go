package gossip

import (
	"fmt"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/bronzeyard/bronzeyard/gateway/breaker"
	"github.com/bronzeyard/bronzeyard/gateway/gossip/gossippb"
	"github.com/bronzeyard/bronzeyard/gateway/placement"
	"github.com/bronzeyard/bronzeyard/gateway/quota"
	"github.com/bronzeyard/bronzeyard/settings"
)

// Guards against datagrams that do not fit into one packet, which the receiver would cut off and reject, and against content
// that is lost between two of them.
func TestContentFitsIntoPackets(t *testing.T) {
	const items = 60
	for _, length := range []int{8, 40, 200} {
		var c content
		for i := range items {
			id := strings.Repeat("x", length-3) + fmt.Sprintf("%03d", i)
			c.notices = append(c.notices, breaker.Notice{Kind: breaker.NoticeSample, Upstream: settings.UpstreamID(id), Sample: breaker.ErrorStatus})
			c.loads = append(c.loads, placement.LoadReport{Upstream: settings.UpstreamID(id), Load: 20})
			use := quota.Use{Customer: settings.CustomerID(id), Admitted: 1 << 40, Asked: 1 << 40, Tokens: -1, Settled: true}
			c.uses, c.retries = append(c.uses, use), append(c.retries, use)
		}
		told, datagrams := 0, 0
		for !c.empty() {
			first := c.take()
			told += len(first.notices) + len(first.loads) + len(first.uses) + len(first.retries)
			datagrams++
			if size := proto.Size(encodeContent(&gossippb.Datagram{}, first)); size > contentBytes {
				t.Errorf("ids of %d bytes: a datagram's content takes %d bytes, want %d at most", length, size, contentBytes)
			}
		}
		if told != 4*items {
			t.Errorf("ids of %d bytes: %d items were told, want %d", length, told, 4*items)
		}
		t.Logf("ids of %d bytes: %d datagrams", length, datagrams)
	}
}
