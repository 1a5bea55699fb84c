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

// changeAll makes the changes one after the other. It stops after a change that is not in force at any proxy.
func (f *fleet) changeAll(ctx context.Context, m *measurement) error {
	if err := wait(ctx, f.plan.settle); err != nil {
		return err
	}
	for i := range f.plan.changes {
		f.env.Progress("change %d of %d", i+1, f.plan.changes)
		taken, err := f.change(ctx, m)
		if err != nil {
			return fmt.Errorf("change %d: %w", i+1, err)
		}
		if taken == 0 {
			return nil
		}
		if err := wait(ctx, f.plan.settle); err != nil {
			return err
		}
	}
	return nil
}

// change adds a class to the file of every proxy, signals all proxies, and waits until the class is known or the
// timeout is over. It returns the number of proxies that know it.
func (f *fleet) change(ctx context.Context, m *measurement) (taken int, err error) {
	class := f.addClass()
	for _, p := range f.proxies { // so that a later positive answer is known to be due to the change
		if known, err := p.knows(class); known || err != nil {
			return 0, fmt.Errorf("%s before the change: knows class %s: %v, %w", p.config.Name, class, known, err)
		}
	}
	if err := f.replaceFiles(m); err != nil {
		return 0, err
	}
	began := time.Now()
	for _, p := range f.proxies {
		if err := p.Reload(); err != nil {
			return 0, fmt.Errorf("%s: %w", p.config.Name, err)
		}
	}
	times := make([]time.Duration, len(f.proxies))
	errs := make([]error, len(f.proxies))
	var watches sync.WaitGroup
	for i, p := range f.proxies {
		watches.Go(func() { times[i], errs[i] = f.waitForClass(ctx, p, class, began) })
	}
	watches.Wait()
	if err := errors.Join(errs...); err != nil {
		return 0, err
	}
	for _, took := range times {
		m.times = append(m.times, took)
		if took < f.plan.timeout {
			taken++
		}
	}
	return taken, nil
}

// addClass adds a class to each proxy's configuration and returns its name.
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

// replaceFiles replaces the configuration files of all proxies.
func (f *fleet) replaceFiles(m *measurement) error {
	began := time.Now()
	for _, p := range f.proxies {
		if err := p.WriteConfig(p.config); err != nil {
			return err
		}
	}
	m.writeTime = max(m.writeTime, time.Since(began))
	size, err := fileSize(f.proxies[0].ConfigPath)
	m.fileBytes = max(m.fileBytes, size)
	return err
}

// waitForClass returns the time from began until the proxy knows the class, or the timeout if that is shorter.
func (f *fleet) waitForClass(ctx context.Context, p *fleetProxy, class string, began time.Time) (time.Duration, error) {
	next := time.NewTicker(f.plan.pollInterval)
	defer next.Stop()
	for {
		known, err := p.knows(class)
		took := time.Since(began)
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

// knows reports whether the proxy accepts calls of a class. It answers 400 to those of an unknown one.
func (p *fleetProxy) knows(class string) (bool, error) {
	p.polls++
	err := p.poller.Call(traffic.Call{ID: fmt.Sprintf("look-%d", p.polls), Class: class, Tenant: scale.TenantA,
		TimeoutMs: callTimeout})
	if answer, ok := errors.AsType[traffic.StatusError](err); ok {
		return answer.Status != http.StatusBadRequest, nil
	}
	return err == nil, err
}
