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

// Guards against datagrams that do not fit into one packet, which the receiver would truncate and reject, and against content
// that is lost when it is split into datagrams.
func TestContentFitsIntoDatagrams(t *testing.T) {
	const items = 60
	for _, length := range []int{8, 40, 200} {
		var c content
		for i := range items {
			id := strings.Repeat("x", length-3) + fmt.Sprintf("%03d", i)
			c.notices = append(c.notices, breaker.Notice{Kind: breaker.NoticeSample, Upstream: settings.UpstreamID(id), Sample: breaker.ErrorStatus})
			c.loads = append(c.loads, placement.LoadReport{Upstream: settings.UpstreamID(id), Load: 20})
			usage := quota.Usage{Customer: settings.CustomerID(id), Admitted: 1 << 40, Requested: 1 << 40, Tokens: -1, Synced: true}
			c.usage, c.retryUsage = append(c.usage, usage), append(c.retryUsage, usage)
		}
		sent, datagrams := 0, 0
		for !c.empty() {
			first := c.takeNext()
			sent += len(first.notices) + len(first.loads) + len(first.usage) + len(first.retryUsage)
			datagrams++
			if size := proto.Size(encodeContent(&gossippb.Datagram{}, first)); size > maxContentBytes {
				t.Errorf("ids of %d bytes: the content of a datagram has %d bytes, want at most %d", length, size, maxContentBytes)
			}
		}
		if sent != 4*items {
			t.Errorf("ids of %d bytes: the datagrams hold %d items, want %d", length, sent, 4*items)
		}
		t.Logf("ids of %d bytes: %d datagrams", length, datagrams)
	}
}
