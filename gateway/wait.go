package gateway

import (
	"context"
	"errors"
	"sync/atomic"
	"time"
)

// readConfiguration reads the newest configuration, or waits for the next one. News that this host is behind ends the wait. The
// error is ErrInterrupted if others are to wait in place of this host.
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

// wait is a read that waits at the store for a change of the configuration.
type longPoll struct {
	*syncer
	after Position
	// ended is closed when the read has ended. interrupt ends it.
	ended, interrupt chan struct{}
	// preceded tells that the wait was ended because others come first.
	yielded atomic.Bool
}

// watch ends the wait when it may go on although there is news. The store may not answer it, or may have forgotten it while it
// was away; its connection may have gone silent; after a pause of this process, what it has brought may be long overtaken. A
// host that has just started begins to wait before it knows the others, and leaves the wait to them after precededFor.
func (p *longPoll) monitor() {
	check := time.NewTicker(pollerCheckInterval)
	defer check.Stop()
	cameFirst := time.Now()
	for {
		// The news may have come, and its signal been received, while the wait before this one ended.
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
				cameFirst = now
			}
			if now.Sub(cameFirst) >= yieldDelay {
				p.yielded.Store(true)
				close(p.interrupt)
				return
			}
		case <-p.ended:
			return
		}
	}
}

// behind reports whether another host has a newer version, or the store has changed since the wait began.
func (p *longPoll) behind() bool { return p.lag.isBehind(p.version()) || p.storeAhead(p.after) }

// endAfterGrace ends the wait unless it ends by itself in the grace, and reports whether it has ended. Without a grace most
// hosts would read each version twice, because it is in force at some host before all others have read it.
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
