package standin2

import "fmt"

const smallBackends = 4

// Zones are the zones of larissa-main.
var Zones = []string{"town-hall", "pump-station", "depot"}

// SmallConfig returns the configuration of the only proxy of a small deployment.
func (c *Case) SmallConfig(agent *Agent) (Config, error) {
	listen, err := FreeAddress()
	if err != nil {
		return Config{}, err
	}
	return Config{Name: "n1", Listen: listen, Discovery: agent.Address, Known: agent.List(), MemoryMB: 64, Sockets: 512,
		Siblings: 1, Membership: "automatic", DrainGraceUs: 300000, Classes: []Class{Ticket, Meter}, Tenants: []map[string]any{
			{"name": "billing", "portion": 0.5, "quota_per_s": 60.0}, {"name": "meters", "portion": 0.5, "quota_per_s": 60.0}}}, nil
}

// StartSmall starts a proxy with discovery and four backends that serve in the same way, and waits until it is healthy.
func (c *Case) StartSmall(serve Serve) (*Proxy, error) {
	var entries []Entry
	for i := range smallBackends {
		b, err := c.StartBackend(fmt.Sprintf("s-%d", i), serve)
		if err != nil {
			return nil, err
		}
		entries = append(entries, b.Entry(Zones[i%len(Zones)], i/2))
	}
	agent, err := c.StartAgent(entries)
	if err != nil {
		return nil, err
	}
	config, err := c.SmallConfig(agent)
	if err != nil {
		return nil, err
	}
	p, err := c.StartProxy(config, c.Path("config.json"), c.Path("tmp"))
	if err != nil {
		return nil, err
	}
	return p, p.WaitHealthy()
}
