package proxy

import (
	"context"

	"baylock/internal/config"
)

// Reload puts another configuration in force without a restart. It is checked as a whole, applied by the loop at one
// instant, and in force when Reload returns; on an error nothing has changed. Its Seed and Known count only at a start.
// Reload may be called while Run does its work, and waits for Run to begin.
func (p *Proxy) Reload(next config.Config) error {
	p.reloading.Lock()
	defer p.reloading.Unlock()
	if err := p.config.CheckReload(next); err != nil {
		return err
	}
	snapshot, err := config.NewSnapshot(next, p.loop.zones, p.loop.settings.Load())
	if err != nil {
		return err
	}
	change := &settingsChanged{snapshot: snapshot}
	if err := p.loop.call(context.Background(), change); err != nil {
		return err
	}
	if change.err != nil {
		return change.err
	}
	p.log.Info("settings in force", "version", snapshot.Version, "discovery", next.Discovery)
	p.setDiscovery(next.Discovery)
	return nil
}
