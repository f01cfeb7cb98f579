package gateway

import (
	"bytes"
	"context"
	"errors"
	"slices"
	"time"

	"github.com/bronzeyard/bronzeyard/gateway/floor"
	"github.com/bronzeyard/bronzeyard/gateway/gossip"
)

// syncHosts writes this host's record to the store and keeps the records of the other hosts up to date until ctx ends.
func (s *syncer) syncHosts(ctx context.Context) {
	dependency := s.dependency("hosts")
	if s.hostsLoaded.Load() && !s.monitorHosts(ctx) { // startUp has copied the records
		return
	}
	for ctx.Err() == nil {
		err := s.exchangeRecords(ctx, &s.own)
		if err != nil {
			s.awaitRecovery(ctx, dependency, err, s.retryHosts, nil)
			continue
		}
		dependency.recordSuccess()
		if !s.monitorHosts(ctx) {
			return
		}
	}
}

// monitorHosts updates the state that depends on the live hosts until the records must be read again. It returns false when ctx
// ends.
func (s *syncer) monitorHosts(ctx context.Context) bool {
	s.sleep(ctx, minHostsInterval)
	ticker := time.NewTicker(gossip.HeartbeatInterval)
	defer ticker.Stop()
	deadline := time.After(hostsInterval)
	for {
		s.updateHosts()
		select {
		case <-ctx.Done():
			return false
		case <-s.rereadHosts:
			return true
		case <-deadline:
			return true
		case <-ticker.C:
		}
		if s.storeEra.Load() > s.own.era {
			conditions := s.readConditions()
			s.sleep(ctx, conditions.eraDelay())
			return ctx.Err() == nil
		}
	}
}

func (s *syncer) updateHosts() {
	now := time.Now()
	hosts := s.node.Hosts(now)
	alive := []string{s.options.HostID}
	live := []floor.Host{{ID: s.options.HostID, DataCentre: s.options.DataCentre}}
	others := make([]string, len(hosts))
	for i := range hosts {
		others[i] = hosts[i].ID
		if hosts[i].Alive(now) && !hosts[i].Leaving {
			alive = append(alive, hosts[i].ID)
			live = append(live, floor.Host{ID: hosts[i].ID, DataCentre: hosts[i].DataCentre})
		}
	}
	s.logLost(others)
	size := s.node.FleetSize(now)
	if divided := max(size, len(others)+1); int64(divided) != s.dividedAmong.Swap(int64(divided)) {
		s.logger.Info().Str("event", "limits_divided").Int("hosts", divided).Int("heard", len(others)+1).Send()
	}
	s.router.setHosts(alive, others, size)
	s.router.setLiveHosts(live)
	s.router.warmUps.setMembers(now, hosts)
	s.limiter.SetFleet(others, size)
}

// maxLostLogged is the maximum number of hosts that one line names.
const maxLostLogged = 8

// logLost logs the hosts that no longer count as members of the fleet, because they were not heard for too long. members are sorted.
func (s *syncer) logLost(members []string) {
	lost := slices.DeleteFunc(s.members, func(id string) bool {
		_, found := slices.BinarySearch(members, id)
		return found
	})
	s.members = slices.Clone(members)
	if len(lost) > 0 {
		s.logger.Info().Str("event", "hosts_lost").Int("count", len(lost)).Strs("host_ids", lost[:min(maxLostLogged, len(lost))]).Send()
	}
}

// registration is the progress of making this host known to the others.
type registration struct {
	// introduced is true after the first read of the records of the others, and written once this host's own record is in the store.
	introduced, written bool
	// era is the era of the store in which the record was written.
	era uint64
}

// exchangeRecords writes this host's record once and reads those of the others. Until its own record is in the store, this host does
// not know which hosts there are: others that cannot write theirs either are not in the store, and the others do not count it.
func (s *syncer) exchangeRecords(ctx context.Context, own *registration) error {
	calling, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if era := s.storeEra.Load(); era > own.era {
		own.era, own.written = era, false // the copy from which the store came back may not have the record
	}
	// A host that knows the others reads first, because that read also gives the version of the record to be replaced.
	writeLast := !own.written && s.hostsLoaded.Load()
	var writeErr error
	if !own.written && !writeLast {
		writeErr = s.writeRecord(calling)
	}
	// The records of the others are needed even so: for a part of the limits, and to introduce this host.
	readAt := time.Now()
	stored, err := s.records(calling, own.written && s.hostsLoaded.Load())
	if err != nil {
		return errors.Join(writeErr, err)
	}
	s.noteSourceEra()
	others := s.applyRecords(readAt, stored)
	if writeLast {
		writeErr = s.writeRecord(calling)
	}
	var rewriteErr error
	if own.written && s.isReplaced(stored) {
		s.logger.Warn().Str("event", "host_record_replaced").Send()
		rewriteErr = s.writeRecord(calling)
	}
	own.written = own.written || writeErr == nil || s.isStored(stored)
	if registered := own.written && !s.hostsLoaded.Load(); registered || !own.introduced {
		own.introduced = true
		s.introduce(ctx)
	}
	if !own.written {
		s.unregisteredPeers.Store(int64(others))
		return writeErr
	}
	s.node.SetRegistered()
	s.updateHosts()
	s.hostsLoaded.Store(true)
	return rewriteErr
}

// applyRecords adds the records that were read, and returns how many of them are of other hosts.
func (s *syncer) applyRecords(readAt time.Time, stored map[string][]byte) (others int) {
	records := make([]gossip.Record, 0, len(stored))
	for id, data := range stored {
		record, err := gossip.DecodeRecord(data)
		if err != nil {
			s.logger.Warn().Str("event", "host_record_skipped").Str("host_id", id).Err(err).Send()
			continue
		}
		records = append(records, record)
		if record.ID != s.options.HostID {
			others++
		}
	}
	for _, id := range s.node.Update(readAt, records) {
		s.hostFound(id)
	}
	return others
}

// isStored reports whether this host's record is among those that were read: its write was performed although the response was lost.
func (s *syncer) isStored(stored map[string][]byte) bool {
	record, err := s.node.EncodedRecord()
	return err == nil && bytes.Equal(stored[s.options.HostID], record)
}

// isReplaced reports whether the record that was read for this host is that of another process. The hosts that read it do not hear
// this one. A host that is leaving has ended its part: the record may be that of the next process.
func (s *syncer) isReplaced(stored map[string][]byte) bool {
	return stored[s.options.HostID] != nil && !s.isStored(stored) && !s.leaving.Load()
}

// writeRecord writes this host's record to the store.
func (s *syncer) writeRecord(ctx context.Context) error {
	record, err := s.node.EncodedRecord()
	if err != nil {
		return err
	}
	return s.options.Hosts.PutHost(ctx, s.options.HostID, record)
}

// expectHosts keeps the expected size of the fleet up to date until this host is registered: the largest one that other hosts report,
// or that their records show. A host that assumed in the meantime that it is alone would admit each customer's whole rate and spend
// the whole retry budget.
func (s *syncer) expectHosts(ctx context.Context) {
	ticker := time.NewTicker(expectHostsInterval)
	defer ticker.Stop()
	logged := 0
	for !s.hostsLoaded.Load() {
		expected := s.node.ExpectedHosts(time.Now())
		if peers := int(s.unregisteredPeers.Load()); peers > 0 {
			expected = max(expected, peers+1)
		}
		s.limiter.ExpectHosts(expected)
		s.router.retries.ExpectHosts(expected)
		if expected != logged {
			s.logger.Info().Str("event", "hosts_expected").Int("count", expected).Send()
			logged = expected
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// introductionDelays are the times after its start at which a host introduces itself to the others. It repeats the introduction
// because datagrams may be lost.
var introductionDelays = [...]time.Duration{0, 300 * time.Millisecond, 700 * time.Millisecond}

// introduce sends this host's record to the others, which saves them a read of the store.
func (s *syncer) introduce(ctx context.Context) {
	for _, after := range introductionDelays {
		time.AfterFunc(after, func() {
			if ctx.Err() == nil {
				s.node.Introduce()
			}
		})
	}
}

// hostFound resets the counts of another host when the first record of a new incarnation arrives.
func (g *Gateway) hostFound(id string) {
	g.limiter.ResetCounts(id)
	g.router.retries.ResetCounts(id)
	g.logger.Info().Str("event", "host_found").Str("host_id", id).Send()
}
