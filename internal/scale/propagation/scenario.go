package propagation

import (
	"context"
	"time"

	"baylock/internal/timing"
)

// scenario is what happens to the service and the proxies while changes are published.
type scenario struct {
	name         string
	zoneHeldBack string // its proxies start later than the others
	outOfReach   bool   // some changes can't reach some proxies when they are accepted
	run          func(ctx context.Context, f *fleet) error
}

// hasRealProxies reports whether real proxies take part: if every change can reach all proxies from the start.
func (s scenario) hasRealProxies() bool { return !s.outOfReach && s.zoneHeldBack == "" }

func scenarios() []scenario {
	return []scenario{ // the longest first, as some run at the same time
		{name: "regions apart and back", outOfReach: true, run: runPartition},
		{name: "watches silent now and then", run: func(ctx context.Context, f *fleet) error {
			return runSilences(ctx, f, f.size.longSilenceInterval)
		}},
		{name: "watches silent again and again", run: func(ctx context.Context, f *fleet) error {
			return runSilences(ctx, f, f.size.shortSilenceInterval)
		}},
		{name: "calm", run: runFaultFree},
		{name: "a replica killed and back", outOfReach: true, run: runReplicaKilled},
		{name: "a zone cut and back", outOfReach: true, run: runZoneCut},
		{name: "a zone's proxies start at once", zoneHeldBack: startedZone, run: runZoneStarts},
		{name: "restarts of proxies", outOfReach: true, run: runRestarts},
	}
}

// The phases with load figures of their own.
const (
	atRecovery = "at the return"
	afterKill  = "after the kill"
	atStart    = "at the start"
)

func runFaultFree(ctx context.Context, f *fleet) error {
	return timing.Wait(ctx, f.size.faultFree)
}

func runReplicaKilled(ctx context.Context, f *fleet) error {
	if err := timing.Wait(ctx, f.size.beforeFault); err != nil {
		return err
	}
	f.nextLoad(afterKill)
	f.tracker.beginOutage(justBefore(time.Now()))
	if err := f.service.Kill(killedReplica); err != nil {
		return err
	}
	if err := timing.Wait(ctx, f.size.outage); err != nil {
		return err
	}
	f.nextLoad(atRecovery)
	f.tracker.endOutage(time.Now())
	if err := f.service.Restart(killedReplica); err != nil {
		return err
	}
	return timing.Wait(ctx, f.size.afterFault)
}

// runSilences silences all watches several times.
func runSilences(ctx context.Context, f *fleet, every time.Duration) error {
	if err := timing.Wait(ctx, f.size.beforeFault); err != nil {
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

// justBefore selects the changes that may be at a lost replica alone.
func justBefore(lost time.Time) outOfReach {
	return func(_ *watcher, c *change) bool {
		return c.at.Before(lost) && c.at.After(lost.Add(-replicationDelay))
	}
}

func runZoneCut(ctx context.Context, f *fleet) error {
	if err := timing.Wait(ctx, f.size.beforeFault); err != nil {
		return err
	}
	alone := justBefore(time.Now())
	f.tracker.beginOutage(func(w *watcher, c *change) bool { return w.location.Zone == cutZone || alone(w, c) })
	f.service.CutZone(cutZone)
	return runRecovery(ctx, f, f.size.outage, func() { f.service.HealZone(cutZone) })
}

func runPartition(ctx context.Context, f *fleet) error {
	if err := timing.Wait(ctx, f.size.beforeFault); err != nil {
		return err
	}
	f.tracker.beginOutage(func(w *watcher, c *change) bool { return w.location.Region != c.region })
	f.service.CutRegions()
	return runRecovery(ctx, f, f.size.partition, f.service.HealRegions)
}

// runRecovery ends an outage after the given time.
func runRecovery(ctx context.Context, f *fleet, length time.Duration, heal func()) error {
	if err := timing.Wait(ctx, length); err != nil {
		return err
	}
	f.nextLoad(atRecovery)
	f.tracker.endOutage(time.Now())
	heal()
	return timing.Wait(ctx, f.size.afterFault)
}

func runZoneStarts(ctx context.Context, f *fleet) error {
	if err := timing.Wait(ctx, f.size.beforeFault); err != nil {
		return err
	}
	f.nextLoad(atStart)
	f.tracker.timeStarts()
	for _, w := range f.watchers {
		if w.location.Zone != startedZone {
			continue
		}
		if err := f.start(ctx, w); err != nil {
			return err
		}
	}
	return timing.Wait(ctx, f.size.afterFault)
}

// runRestarts stops proxies one after the other, and restarts each after its down time with its last list.
func runRestarts(ctx context.Context, f *fleet) error {
	if err := timing.Wait(ctx, f.size.beforeFault); err != nil {
		return err
	}
	f.tracker.timeStarts()
	drawn := f.random.Perm(len(f.watchers))[:f.size.restarts]
	every := f.size.restartSpan / time.Duration(len(drawn))
	down := int(f.size.downTime / every) // number of proxies that are down at the same time
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
	return timing.Wait(ctx, f.size.afterFault)
}
