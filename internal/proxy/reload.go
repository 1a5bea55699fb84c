package proxy

import (
	"context"

	"baylock/internal/config"
)

// Reload puts another configuration in force without a restart. The configuration is checked as a whole, applied by the
// loop in one step, and in force when Reload returns. If Reload returns an error, nothing has changed. Seed and Known are
// ignored, since they only matter when a process starts. Reload may be called concurrently with Run, and blocks until Run
// has started.
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
	if err := p.loop.postAndWait(context.Background(), change); err != nil {
		return err
	}
	if change.err != nil {
		return change.err
	}
	p.log.Info("settings in force", "version", snapshot.Version, "discovery", next.Discovery)
	p.setDiscovery(next.Discovery)
	return nil
}
