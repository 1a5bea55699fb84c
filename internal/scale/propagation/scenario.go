package propagation

import (
	"context"
	"time"

	"baylock/internal/timing"
)

// scenario is what happens to the service and the proxies while changes come.
type scenario struct {
	name         string
	zoneHeldBack string // its proxies do not start with the others
	outOfReach   bool   // some changes can't reach some proxies when they are accepted
	play         func(ctx context.Context, f *fleet) error
}

// hasRealProxies tells whether real proxies watch beside the hollow ones: where each change can reach all from the start.
func (s scenario) hasRealProxies() bool { return !s.outOfReach && s.zoneHeldBack == "" }

func scenarios() []scenario {
	return []scenario{ // the longest first, since some run at once
		{name: "regions apart and back", outOfReach: true, play: playRegionsApart},
		{name: "watches silent now and then", play: func(ctx context.Context, f *fleet) error {
			return playSilences(ctx, f, f.size.silenceSeldom)
		}},
		{name: "watches silent again and again", play: func(ctx context.Context, f *fleet) error {
			return playSilences(ctx, f, f.size.silenceOften)
		}},
		{name: "calm", play: playCalm},
		{name: "a replica killed and back", outOfReach: true, play: playReplicaKilled},
		{name: "a zone cut and back", outOfReach: true, play: playZoneCut},
		{name: "a zone's proxies start at once", zoneHeldBack: startedZone, play: playZoneStarts},
		{name: "restarts of proxies", outOfReach: true, play: playRestarts},
	}
}

// The phases in which a replica's load is given by itself.
const (
	atTheReturn  = "at the return"
	afterTheKill = "after the kill"
	atTheStart   = "at the start"
)

func playCalm(ctx context.Context, f *fleet) error {
	return timing.Wait(ctx, f.size.calm)
}

func playReplicaKilled(ctx context.Context, f *fleet) error {
	if err := timing.Wait(ctx, f.size.quiet); err != nil {
		return err
	}
	f.nextLoad(afterTheKill)
	f.tracker.beginOutage(justBefore(time.Now()))
	if err := f.service.Kill(killedReplica); err != nil {
		return err
	}
	if err := timing.Wait(ctx, f.size.outage); err != nil {
		return err
	}
	f.nextLoad(atTheReturn)
	f.tracker.endOutage(time.Now())
	if err := f.service.Restart(killedReplica); err != nil {
		return err
	}
	return timing.Wait(ctx, f.size.after)
}

// playSilences has all watches fall silent a number of times.
func playSilences(ctx context.Context, f *fleet, every time.Duration) error {
	if err := timing.Wait(ctx, f.size.quiet); err != nil {
		return err
	}
	for range f.size.silences {
		f.service.SilenceWatches()
		if err := timing.Wait(ctx, every); err != nil {
			return err
		}
	}
	return nil
}

// justBefore gives the changes that a replica lost at some time can hold alone.
func justBefore(lost time.Time) outOfReach {
	return func(_ *watcher, c *change) bool {
		return c.at.Before(lost) && c.at.After(lost.Add(-replicationDelay))
	}
}

func playZoneCut(ctx context.Context, f *fleet) error {
	if err := timing.Wait(ctx, f.size.quiet); err != nil {
		return err
	}
	alone := justBefore(time.Now())
	f.tracker.beginOutage(func(w *watcher, c *change) bool { return w.location.Zone == cutZone || alone(w, c) })
	f.service.CutZone(cutZone)
	return playReturn(ctx, f, f.size.outage, func() { f.service.HealZone(cutZone) })
}

func playRegionsApart(ctx context.Context, f *fleet) error {
	if err := timing.Wait(ctx, f.size.quiet); err != nil {
		return err
	}
	f.tracker.beginOutage(func(w *watcher, c *change) bool { return w.location.Region != c.region })
	f.service.CutRegions()
	return playReturn(ctx, f, f.size.partition, f.service.HealRegions)
}

// playReturn ends an outage after a while.
func playReturn(ctx context.Context, f *fleet, length time.Duration, heal func()) error {
	if err := timing.Wait(ctx, length); err != nil {
		return err
	}
	f.nextLoad(atTheReturn)
	f.tracker.endOutage(time.Now())
	heal()
	return timing.Wait(ctx, f.size.after)
}

func playZoneStarts(ctx context.Context, f *fleet) error {
	if err := timing.Wait(ctx, f.size.quiet); err != nil {
		return err
	}
	f.nextLoad(atTheStart)
	f.tracker.timeStarts()
	for _, w := range f.watchers {
		if w.location.Zone != startedZone {
			continue
		}
		if err := f.start(ctx, w); err != nil {
			return err
		}
	}
	return timing.Wait(ctx, f.size.after)
}

// playRestarts ends proxies one after the other and starts each again after a while, with the list that it had.
func playRestarts(ctx context.Context, f *fleet) error {
	if err := timing.Wait(ctx, f.size.quiet); err != nil {
		return err
	}
	f.tracker.timeStarts()
	drawn := f.random.Perm(len(f.watchers))[:f.size.restarts]
	every := f.size.restartSpan / time.Duration(len(drawn))
	down := int(f.size.downTime / every) // proxies at once
	for i := range len(drawn) + down {
		if i < len(drawn) {
			f.watchers[drawn[i]].stop()
		}
		if i >= down {
			if err := f.start(ctx, f.watchers[drawn[i-down]]); err != nil {
				return err
			}
		}
		if err := timing.Wait(ctx, every); err != nil {
			return err
		}
	}
	return timing.Wait(ctx, f.size.after)
}
