package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/bronzeyard/bronzeyard/gateway/confsync"
	"github.com/bronzeyard/bronzeyard/gateway/gossip"
	"github.com/bronzeyard/bronzeyard/gateway/registry"
)

const (
	// minHostsToShare is the number of other hosts from which on a host asks the others for what they have read before it reads the
	// store. Smaller fleets make few calls, and each of their hosts reads by itself.
	minHostsToShare = 20
	// maxStateCacheAge is the time for which the encoded state of this host is served again. Many hosts may start at once.
	maxStateCacheAge = 200 * time.Millisecond
	// maxSharedAge is the fraction of the bound of a change up to which what another host has read is taken for current.
	maxSharedAge = 0.65
	// stateAgeError is by how much the age of a state may be overstated: by the time of its transfer.
	stateAgeError = 300 * time.Millisecond
	// maxStatesTried is the number of hosts that are asked for their state at a time.
	maxStatesTried = 3
)

// errNoState means that another host does not pass on what was requested.
var errNoState = errors.New("gateway: the host has not provided its state")

// Parts of the state that hosts pass on.
const (
	configurationPart = "configuration"
	upstreamsPart     = "upstreams"
	hostsPart         = "hosts"
	allParts          = configurationPart + "," + upstreamsPart + "," + hostsPart
)

// hostState is what a host passes on to others. A part that is missing was not requested, or the host does not have it.
type hostState struct {
	Configuration *sharedConfiguration `json:"configuration,omitempty"`
	Upstreams     *upstreamsState      `json:"upstreams,omitempty"`
	Records       []gossip.Record      `json:"hosts,omitempty"`
}

// sharedConfiguration is the active configuration, and the time since a read of the store last confirmed it.
type sharedConfiguration struct {
	Raw   []byte `json:"raw"`
	AgeMs int64  `json:"age_ms"`
}

// upstreamsState is a read of the upstreams, and the time since it began.
type upstreamsState struct {
	Version uint64          `json:"version"`
	AgeMs   int64           `json:"age_ms"`
	Entries []upstreamState `json:"entries"`
}

// upstreamState is an entry whose times are relative, because the clocks of hosts differ.
type upstreamState struct {
	registry.Entry
	WarmMs int64 `json:"warm_ms,omitempty"`
}

// stateCache holds encoded states by their parts.
type stateCache struct {
	mu      sync.Mutex
	encoded map[string]encodedState
}

// encodedState is an encoded state, with what it was made from.
type encodedState struct {
	at            time.Time
	view          *registry.View
	configuration *activeConfiguration
	compressed    []byte
}

// encodedState returns the compressed parts of this host's state and the time since they were encoded; nil if it has none of them.
func (g *Gateway) encodedState(parts string) ([]byte, time.Duration) {
	now := time.Now()
	view, configuration := g.router.registry.View(), g.current.Load()
	g.states.mu.Lock()
	defer g.states.mu.Unlock()
	if cached, ok := g.states.encoded[parts]; ok && cached.view == view && cached.configuration == configuration &&
		now.Sub(cached.at) <= maxStateCacheAge {
		return cached.compressed, now.Sub(cached.at)
	}
	state := g.state(now, view, configuration, strings.Split(parts, ","))
	if state.Configuration == nil && state.Upstreams == nil && state.Records == nil {
		return nil, 0
	}
	data, err := json.Marshal(state)
	if err != nil {
		return nil, 0 // not reached: all fields can be encoded
	}
	compressed := confsync.CompressState(data)
	if g.states.encoded == nil || len(g.states.encoded) >= len(strings.Split(allParts, ",")) {
		g.states.encoded = make(map[string]encodedState)
	}
	g.states.encoded[parts] = encodedState{at: now, view: view, configuration: configuration, compressed: compressed}
	return compressed, 0
}

func (g *Gateway) state(now time.Time, view *registry.View, configuration *activeConfiguration, parts []string) *hostState {
	state := &hostState{}
	if slices.Contains(parts, configurationPart) && configuration != nil && g.compressedConfiguration() != nil {
		state.Configuration = &sharedConfiguration{
			Raw: configuration.Raw, AgeMs: now.Sub(configuration.confirmedAt()).Milliseconds(),
		}
	}
	if slices.Contains(parts, upstreamsPart) && !view.ReadAt.IsZero() {
		state.Upstreams = &upstreamsState{Version: view.Version, AgeMs: now.Sub(view.ReadAt).Milliseconds()}
		for _, entry := range view.Entries() {
			warm := max(0, entry.Upstream.WarmUntil.Sub(now).Milliseconds())
			entry.Upstream.WarmUntil = time.Time{}
			state.Upstreams.Entries = append(state.Upstreams.Entries, upstreamState{Entry: entry, WarmMs: warm})
		}
	}
	if slices.Contains(parts, hostsPart) && g.hostsLoaded.Load() {
		state.Records = g.node.Records(now)
	}
	return state
}

// fetchState fetches parts of the state of another host, and returns an upper bound of the time since it was encoded.
func (s *syncer) fetchState(ctx context.Context, peer *gossip.Host, parts string) (*hostState, time.Duration, error) {
	data, age, err := s.peers.FetchState(ctx, peer.SettingsAddress, peer.Key, parts)
	if err != nil {
		return nil, 0, err
	}
	var state hostState
	if err := json.Unmarshal(data, &state); err != nil {
		return nil, 0, err
	}
	return &state, age, nil
}

// read returns the entries and the start of the read.
func (u *upstreamsState) read(now time.Time, age time.Duration) (readAt time.Time, entries []registry.Entry) {
	entries = make([]registry.Entry, len(u.Entries))
	for i, entry := range u.Entries {
		entries[i] = entry.Entry
		if entry.WarmMs > 0 {
			entries[i].Upstream.WarmUntil = now.Add(time.Duration(entry.WarmMs)*time.Millisecond - age)
		}
	}
	return now.Add(-age - time.Duration(u.AgeMs)*time.Millisecond), entries
}

// sharesReads reports whether the fleet is so large that its hosts take what others have read.
func (s *syncer) sharesReads() bool { return len(s.node.Hosts(time.Now())) >= minHostsToShare }

// statePeers returns hosts to be asked for their state: those that are known to have a configuration first, and those of the local
// data centre before the others.
func (s *syncer) statePeers() []gossip.Host {
	now := time.Now()
	hosts := slices.DeleteFunc(s.node.Hosts(now), func(h gossip.Host) bool {
		return h.SettingsAddress == "" || h.Leaving || !h.Alive(now)
	})
	rand.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	rank := func(h *gossip.Host) int {
		rank := distance(h.DataCentre, s.options.DataCentre)
		if h.Configuration == 0 {
			rank += 2
		}
		return rank
	}
	slices.SortStableFunc(hosts, func(a, b gossip.Host) int { return rank(&a) - rank(&b) })
	return hosts[:min(maxStatesTried, len(hosts))]
}

// records returns the records of the hosts. In a large fleet, a host that is registered takes them from one of the others unless it
// is one of those that read the store for all.
func (s *syncer) records(ctx context.Context, registered bool) (map[string][]byte, error) {
	if registered && s.sharesReads() && !s.shouldPoll(time.Now()) {
		for _, peer := range s.statePeers() {
			state, _, err := s.fetchState(ctx, &peer, hostsPart)
			if err != nil {
				s.logStateFailure(peer.ID, err)
				continue
			}
			if records, err := encodeRecords(state.Records); err == nil && len(records) > 0 {
				return records, nil
			}
		}
	}
	return s.options.Hosts.Hosts(ctx)
}

func encodeRecords(records []gossip.Record) (map[string][]byte, error) {
	encoded := make(map[string][]byte, len(records))
	for i := range records {
		data, err := records[i].Encode()
		if err != nil {
			return nil, err
		}
		encoded[records[i].ID] = data
	}
	return encoded, nil
}

func (s *syncer) logStateFailure(host string, err error) {
	if !errors.Is(err, confsync.ErrBusy) {
		s.logger.Info().Str("event", "state_fetch_failed").Str("host_id", host).Err(err).Send()
	}
}
