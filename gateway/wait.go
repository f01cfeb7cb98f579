package gateway

import (
	"context"
	"errors"
	"sync/atomic"
	"time"
)

// readConfiguration reads the newest configuration, or long-polls for the next one if the position is known. The long poll ends
// early when another host or the version of the store shows that this host is behind. The error is ErrInterrupted if other hosts
// are to poll instead of this one.
func (s *syncer) readConfiguration(ctx context.Context, known bool) (*Configuration, Position, configurationSource, error) {
	if !known {
		next, at, err := s.readFull(ctx)
		return next, at, fullRead, err
	}
	waiting, cancel := context.WithTimeout(ctx, configurationWait+callTimeout)
	defer cancel()
	p := &longPoll{syncer: s, after: s.position, ended: make(chan struct{}), interrupt: make(chan struct{})}
	defer close(p.ended)
	go p.monitor()
	next, at, err := s.options.Configurations.ConfigurationAfter(waiting, s.position, configurationWait, p.interrupt)
	if !errors.Is(err, ErrInterrupted) || p.yielded.Load() {
		return next, at, feedRead, err
	}
	if p.storeAhead(p.after) && !s.lag.isBehind(s.version()) {
		return s.readChanges(ctx)
	}
	next, at, err = s.readFull(ctx)
	return next, at, hintedRead, err
}

// longPoll is a read that waits for a change of the configuration in the store.
type longPoll struct {
	*syncer
	after Position
	// ended is closed when the read has ended. Closing interrupt ends the read.
	ended, interrupt chan struct{}
	// yielded is set if the long poll was ended because other hosts rank before this one.
	yielded atomic.Bool
}

// monitor ends the long poll if it may otherwise continue although there is a change. The store may not respond to it, or may have
// lost it while it was unavailable. Its connection may be dead without an error. After a pause of this process, the response may
// be outdated. A host that has just started begins to poll before it knows the other hosts, and leaves polling to those that rank
// before it after yieldDelay.
func (p *longPoll) monitor() {
	check := time.NewTicker(pollerCheckInterval)
	defer check.Stop()
	lastRankedFirst := time.Now()
	for {
		// The update and its signal may have arrived while the previous long poll was ending.
		if p.behind() && p.endAfterGrace() {
			return
		}
		p.confirmUnchanged(p.after)
		select {
		case <-p.rereadConfiguration:
		case <-p.retryConfiguration:
			close(p.interrupt)
			return
		case <-p.rereadAfterPause.configuration:
			close(p.interrupt)
			return
		case now := <-check.C:
			if p.shouldPoll(now) {
				lastRankedFirst = now
			}
			if now.Sub(lastRankedFirst) >= yieldDelay {
				p.yielded.Store(true)
				close(p.interrupt)
				return
			}
		case <-p.ended:
			return
		}
	}
}

// behind reports whether another host has a newer version, or the store has changed since the long poll began.
func (p *longPoll) behind() bool { return p.lag.isBehind(p.version()) || p.storeAhead(p.after) }

// endAfterGrace ends the long poll unless it ends by itself within a grace period, and reports whether it has ended. Without the
// grace period most hosts would read each version twice, because it becomes active on some host before all others have read it.
func (p *longPoll) endAfterGrace() bool {
	grace := time.NewTimer(time.Duration(hintGraceFraction * float64(p.boundsNow().MaxConfigurationDelay)))
	defer grace.Stop()
	select {
	case <-grace.C:
		if !p.behind() {
			return false
		}
	case <-p.rereadAfterPause.configuration:
	case <-p.ended:
		return true
	}
	close(p.interrupt)
	return true
}
