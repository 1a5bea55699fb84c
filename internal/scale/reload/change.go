package reload

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"baylock/internal/scale"
	"baylock/internal/scale/traffic"
)

// runChanges makes the changes one after the other. It stops early if no proxy applied a change.
func (f *fleet) runChanges(ctx context.Context, m *measurement) error {
	if err := wait(ctx, f.plan.settle); err != nil {
		return err
	}
	for i := range f.plan.changes {
		f.env.Progress("change %d of %d", i+1, f.plan.changes)
		applied, err := f.runChange(ctx, m)
		if err != nil {
			return fmt.Errorf("change %d: %w", i+1, err)
		}
		if applied == 0 {
			return nil
		}
		if err := wait(ctx, f.plan.settle); err != nil {
			return err
		}
	}
	return nil
}

// runChange adds a class to the configuration file of every proxy, signals all proxies, and waits until each knows the
// class or the timeout expires. It returns the number of proxies that know it.
func (f *fleet) runChange(ctx context.Context, m *measurement) (applied int, err error) {
	class := f.addClass()
	for _, p := range f.proxies { // no proxy may know the class yet, so that the change alone can make it known
		if known, err := p.knowsClass(class); known || err != nil {
			return 0, fmt.Errorf("%s: check before the change: knows class %s: %v, error: %w",
				p.config.Name, class, known, err)
		}
	}
	if err := f.replaceConfigFiles(m); err != nil {
		return 0, err
	}
	start := time.Now()
	for _, p := range f.proxies {
		if err := p.Reload(); err != nil {
			return 0, fmt.Errorf("%s: %w", p.config.Name, err)
		}
	}
	times := make([]time.Duration, len(f.proxies))
	errs := make([]error, len(f.proxies))
	var polling sync.WaitGroup
	for i, p := range f.proxies {
		polling.Go(func() { times[i], errs[i] = f.waitForClass(ctx, p, class, start) })
	}
	polling.Wait()
	if err := errors.Join(errs...); err != nil {
		return 0, err
	}
	for _, took := range times {
		m.times = append(m.times, took)
		if took < f.plan.timeout {
			applied++
		}
	}
	return applied, nil
}

// addClass adds a class to each proxy's settings in memory and returns its name.
func (f *fleet) addClass() string {
	f.addedClasses++
	name := fmt.Sprintf("added-%d", f.addedClasses)
	for _, p := range f.proxies {
		added := p.config.Settings.Classes[0]
		added.Name = name
		p.config.Settings.Classes = append(slices.Clone(p.config.Settings.Classes), added)
	}
	return name
}

// replaceConfigFiles replaces the configuration files of all proxies and records the time and the size.
func (f *fleet) replaceConfigFiles(m *measurement) error {
	start := time.Now()
	for _, p := range f.proxies {
		if err := p.WriteConfig(p.config); err != nil {
			return err
		}
	}
	m.writeTime = max(m.writeTime, time.Since(start))
	size, err := fileSize(f.proxies[0].ConfigPath)
	m.fileBytes = max(m.fileBytes, size)
	return err
}

// waitForClass polls the proxy and returns the time from start until it knows the class, or the timeout if that is
// shorter.
func (f *fleet) waitForClass(ctx context.Context, p *fleetProxy, class string, start time.Time) (time.Duration, error) {
	next := time.NewTicker(f.plan.pollInterval)
	defer next.Stop()
	for {
		known, err := p.knowsClass(class)
		took := time.Since(start)
		if err != nil || known || took >= f.plan.timeout {
			return min(took, f.plan.timeout), err
		}
		select {
		case <-next.C:
		case <-p.Ended():
			return 0, errors.Join(scale.ErrProcessEnded, p.Err())
		case <-ctx.Done():
			return 0, context.Cause(ctx)
		}
	}
}

// knowsClass reports whether the proxy accepts calls of a class. The proxy responds with status 400 to calls of an
// unknown class.
func (p *fleetProxy) knowsClass(class string) (bool, error) {
	p.polls++
	err := p.pollClient.Call(traffic.Call{ID: fmt.Sprintf("look-%d", p.polls), Class: class, Tenant: scale.TenantA,
		TimeoutMs: callTimeoutMs})
	if statusErr, ok := errors.AsType[traffic.StatusError](err); ok {
		return statusErr.Status != http.StatusBadRequest, nil
	}
	return err == nil, err
}
