package propagation

import (
	"context"
	"time"

	"baylock/internal/timing"
)

// scenario is what happens while changes are published: faults, starts or restarts of proxies, or nothing.
type scenario struct {
	name      string
	lateZone  string // zone whose proxies start later than the others; empty if there is none
	hasOutage bool   // some changes can't reach some proxies when they are accepted
	run       func(ctx context.Context, f *fleet) error
}

// hasRealProxies reports whether real proxies take part, which they do if every change can reach all proxies
// when it is accepted.
func (s scenario) hasRealProxies() bool { return !s.hasOutage && s.lateZone == "" }

func scenarios() []scenario {
	return []scenario{ // the longest first, as several run in parallel
		{name: "regions apart and back", hasOutage: true, run: runPartition},
		{name: "watches silent now and then", run: func(ctx context.Context, f *fleet) error {
			return runSilences(ctx, f, f.size.longSilenceInterval)
		}},
		{name: "watches silent again and again", run: func(ctx context.Context, f *fleet) error {
			return runSilences(ctx, f, f.size.shortSilenceInterval)
		}},
		{name: "calm", run: runFaultFree},
		{name: "a replica killed and back", hasOutage: true, run: runReplicaKilled},
		{name: "a zone cut and back", hasOutage: true, run: runZoneIsolated},
		{name: "a zone's proxies start at once", lateZone: startedZone, run: runZoneStarts},
		{name: "restarts of proxies", hasOutage: true, run: runRestarts},
	}
}

// The names of the phases that have their own load figures. They are parts of the figures' names.
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
	f.nextLoadPhase(afterKill)
	f.tracker.beginOutage(notYetReplicated(time.Now()))
	if err := f.registry.Kill(killedReplica); err != nil {
		return err
	}
	if err := timing.Wait(ctx, f.size.outage); err != nil {
		return err
	}
	f.nextLoadPhase(atRecovery)
	f.tracker.endOutage(time.Now())
	if err := f.registry.Restart(killedReplica); err != nil {
		return err
	}
	return timing.Wait(ctx, f.size.afterFault)
}

// runSilences silences all watches several times, at the given interval.
func runSilences(ctx context.Context, f *fleet, interval time.Duration) error {
	if err := timing.Wait(ctx, f.size.beforeFault); err != nil {
		return err
	}
	for range f.size.silences {
		f.registry.SilenceWatches()
		if err := timing.Wait(ctx, interval); err != nil {
			return err
		}
	}
	return nil
}

// notYetReplicated selects the changes that only a replica lost at the given time may have: those accepted less
// than the replication delay before.
func notYetReplicated(lostAt time.Time) unreachableFunc {
	return func(_ *watcher, c *change) bool {
		return c.at.Before(lostAt) && c.at.After(lostAt.Add(-replicationDelay))
	}
}

func runZoneIsolated(ctx context.Context, f *fleet) error {
	if err := timing.Wait(ctx, f.size.beforeFault); err != nil {
		return err
	}
	notReplicated := notYetReplicated(time.Now())
	f.tracker.beginOutage(func(w *watcher, c *change) bool {
		return w.location.Zone == isolatedZone || notReplicated(w, c)
	})
	f.registry.CutZone(isolatedZone)
	return runRecovery(ctx, f, f.size.outage, func() { f.registry.HealZone(isolatedZone) })
}

func runPartition(ctx context.Context, f *fleet) error {
	if err := timing.Wait(ctx, f.size.beforeFault); err != nil {
		return err
	}
	f.tracker.beginOutage(func(w *watcher, c *change) bool { return w.location.Region != c.region })
	f.registry.CutRegions()
	return runRecovery(ctx, f, f.size.partition, f.registry.HealRegions)
}

// runRecovery waits for the length of an outage, ends the outage, and waits until the end of the scenario.
func runRecovery(ctx context.Context, f *fleet, length time.Duration, heal func()) error {
	if err := timing.Wait(ctx, length); err != nil {
		return err
	}
	f.nextLoadPhase(atRecovery)
	f.tracker.endOutage(time.Now())
	heal()
	return timing.Wait(ctx, f.size.afterFault)
}

func runZoneStarts(ctx context.Context, f *fleet) error {
	if err := timing.Wait(ctx, f.size.beforeFault); err != nil {
		return err
	}
	f.nextLoadPhase(atStart)
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

// runRestarts stops random proxies one after the other. Each restarts after the down time with its last list.
func runRestarts(ctx context.Context, f *fleet) error {
	if err := timing.Wait(ctx, f.size.beforeFault); err != nil {
		return err
	}
	f.tracker.timeStarts()
	chosen := f.random.Perm(len(f.watchers))[:f.size.restarts]
	interval := f.size.restartSpan / time.Duration(len(chosen))
	downCount := int(f.size.downTime / interval) // number of proxies that are down at the same time
	for i := range len(chosen) + downCount {
		if i < len(chosen) {
			f.watchers[chosen[i]].stop()
		}
		if i >= downCount {
			if err := f.start(ctx, f.watchers[chosen[i-downCount]]); err != nil {
				return err
			}
		}
		if err := timing.Wait(ctx, interval); err != nil {
			return err
		}
	}
	return timing.Wait(ctx, f.size.afterFault)
}
