package propagation

import (
	"context"
	"time"
)

// scenario is what happens to the service and the proxies while changes come.
type scenario struct {
	name         string
	zoneHeldBack string // its proxies do not start with the others
	play         func(ctx context.Context, f *fleet) error
}

func scenarios() []scenario {
	return []scenario{ // the longest first, since some run at once
		{name: "regions apart and back", play: playRegionsApart},
		{name: "calm", play: playCalm},
		{name: "a replica killed and back", play: playReplicaKilled},
		{name: "watches silent once", play: playSilence},
		{name: "watches silent again and again", play: playSilences},
		{name: "a zone cut and back", play: playZoneCut},
		{name: "a zone's proxies start at once", zoneHeldBack: startedZone, play: playZoneStarts},
		{name: "restarts of proxies", play: playRestarts},
	}
}

// The phases in which a replica's load is given by itself.
const (
	atTheReturn  = "at the return"
	afterTheKill = "after the kill"
	atTheStart   = "at the start"
)

func playCalm(ctx context.Context, f *fleet) error {
	return wait(ctx, f.size.calm)
}

func playReplicaKilled(ctx context.Context, f *fleet) error {
	if err := wait(ctx, f.size.quiet); err != nil {
		return err
	}
	f.nextLoad(afterTheKill)
	if err := f.service.Kill(killedReplica); err != nil {
		return err
	}
	if err := wait(ctx, f.size.outage); err != nil {
		return err
	}
	f.nextLoad(atTheReturn)
	if err := f.service.Restart(killedReplica); err != nil {
		return err
	}
	return wait(ctx, f.size.after)
}

func playSilence(ctx context.Context, f *fleet) error {
	if err := wait(ctx, f.size.quiet); err != nil {
		return err
	}
	f.service.SilenceWatches()
	return wait(ctx, f.size.after)
}

func playSilences(ctx context.Context, f *fleet) error {
	for range f.size.silences {
		if err := wait(ctx, f.size.silenceEvery); err != nil {
			return err
		}
		f.service.SilenceWatches()
	}
	return wait(ctx, f.size.after)
}

func playZoneCut(ctx context.Context, f *fleet) error {
	apart := func(w *watcher, c *change) bool { return w.location.Zone == cutZone }
	return playOutage(ctx, f, f.size.outage, apart,
		func() { f.service.CutZone(cutZone) }, func() { f.service.HealZone(cutZone) })
}

func playRegionsApart(ctx context.Context, f *fleet) error {
	apart := func(w *watcher, c *change) bool { return w.location.Region != c.region }
	return playOutage(ctx, f, f.size.partition, apart, f.service.CutRegions, f.service.HealRegions)
}

// playOutage cuts something off for a while. Apart tells which proxies can't have a change meanwhile.
func playOutage(ctx context.Context, f *fleet, length time.Duration, apart func(*watcher, *change) bool,
	cut, heal func()) error {
	if err := wait(ctx, f.size.quiet); err != nil {
		return err
	}
	f.tracker.beginOutage(apart)
	cut()
	if err := wait(ctx, length); err != nil {
		return err
	}
	f.nextLoad(atTheReturn)
	f.tracker.endOutage(time.Now())
	heal()
	return wait(ctx, f.size.after)
}

func playZoneStarts(ctx context.Context, f *fleet) error {
	if err := wait(ctx, f.size.quiet); err != nil {
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
	return wait(ctx, f.size.after)
}

// playRestarts restarts proxies one after the other, each with the list that it had.
func playRestarts(ctx context.Context, f *fleet) error {
	if err := wait(ctx, f.size.quiet); err != nil {
		return err
	}
	f.tracker.timeStarts()
	for _, i := range f.random.Perm(len(f.watchers))[:f.size.restarts] {
		w := f.watchers[i]
		w.stop()
		if err := f.start(ctx, w); err != nil {
			return err
		}
		if err := wait(ctx, f.size.restartSpan/time.Duration(f.size.restarts)); err != nil {
			return err
		}
	}
	return wait(ctx, f.size.after)
}

// wait returns after a time, or with an error once the context has ended.
func wait(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
