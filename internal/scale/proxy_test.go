package scale_test

import (
	"context"
	"encoding/json"
	"errors"
	"os"
	"strings"
	"testing"

	"baylock/internal/discovery"
	"baylock/internal/scale"
	"baylock/internal/scale/scaletest"
	"baylock/internal/scale/traffic"
	"baylock/internal/settings"
)

func TestMain(m *testing.M) { os.Exit(scaletest.Main(m)) }

func startBackend(t *testing.T) *traffic.Backend {
	t.Helper()
	backend, err := traffic.StartBackend(nil, scaletest.Env(t).Log)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(backend.Close)
	return backend
}

// proxyConfig returns a configuration whose discovery service is unreachable and whose known endpoint list has one
// backend.
func proxyConfig(backend *traffic.Backend) scale.ProxyConfig {
	return scale.ProxyConfig{Name: "proxy-1", Discovery: "127.0.0.1:1", Seed: 7,
		Known:    &discovery.List{Index: 3, Snapshot: true, Endpoints: backend.Endpoints(1, scale.DefaultZones())},
		Settings: scale.DefaultSettings(scale.Pushed)}
}

func TestStartProxyServesAndReloads(t *testing.T) {
	env, backend := scaletest.Env(t), startBackend(t)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	config := proxyConfig(backend)
	proxy, err := scale.StartProxy(ctx, env, config)
	if err != nil {
		t.Fatal(err)
	}
	client := traffic.NewClient(proxy.Address)
	defer client.Close()
	call := traffic.Call{ID: "1", Class: scale.ReadClass, Tenant: scale.TenantA, TimeoutMs: 60_000}
	if err := client.Call(call); err != nil || backend.Calls() != 1 {
		t.Errorf("%d calls arrived, error %v", backend.Calls(), err)
	}
	usage, err := proxy.Usage()
	if err != nil || usage.CPU <= 0 || usage.ReadBytes == 0 || proxy.ReadyAfter <= 0 {
		t.Errorf("usage %+v, %v, ready after %v", usage, err, proxy.ReadyAfter)
	}
	config.Settings.Tenants[0].RateQuota++
	if err := errors.Join(proxy.WriteConfig(config), proxy.Reload()); err != nil {
		t.Error(err)
	}
	call.ID = "2"
	if err := client.Call(call); err != nil {
		t.Errorf("after the reload: %v", err)
	}
	cancel()
	<-proxy.Ended()
	if env.Budget.Processes() != 0 {
		t.Errorf("%d processes still run", env.Budget.Processes())
	}
}

func TestProxyConfigFileIsReadable(t *testing.T) {
	env := scaletest.Env(t)
	proxy, err := scale.StartProxy(t.Context(), env, proxyConfig(startBackend(t)))
	if err != nil {
		t.Fatal(err)
	}
	defer proxy.Kill()
	data, err := os.ReadFile(proxy.ConfigPath)
	if err != nil {
		t.Fatal(err)
	}
	var file struct {
		Name, Listen, Discovery, Seed string
		Limits                        map[string]float64
		Known                         discovery.List
		Settings                      json.RawMessage
	}
	if err := json.Unmarshal(data, &file); err != nil {
		t.Fatal(err)
	}
	if file.Name != "proxy-1" || file.Listen != proxy.Address || file.Seed != "7" || file.Limits["memory_mb"] != 192 ||
		file.Limits["sockets"] != 1024 || file.Limits["cores"] != 1 || len(file.Known.Endpoints) != 1 {
		t.Errorf("got %s", data)
	}
	site, err := settings.Decode(file.Settings)
	if err != nil || site.ValidateForProxy() != nil {
		t.Fatalf("settings: %v, %v", err, site.ValidateForProxy())
	}
	if len(site.Classes) != 2 || len(site.Tenants) != 2 || len(site.Zones) != 5 || site.Balancer.SubscribeRequired {
		t.Errorf("settings %+v", site)
	}
	polled, err := json.Marshal(scale.DefaultSettings(scale.Polled))
	if err != nil {
		t.Fatal(err)
	}
	if site, err = settings.Decode(polled); err != nil || !site.Balancer.SubscribeRequired || site.Balancer.MaxPollInterval == 0 {
		t.Errorf("settings %+v, %v", site, err)
	}
}

func TestStartProxyFailureLeavesNoProcess(t *testing.T) {
	backend := startBackend(t)
	for _, test := range []struct {
		name   string
		change func(*scale.Env, *scale.ProxyConfig)
		want   string // in the error
	}{
		{"no program", func(env *scale.Env, _ *scale.ProxyConfig) { env.ProxyProgram = "" }, scale.BuildCommand},
		{"unknown program", func(env *scale.Env, _ *scale.ProxyConfig) { env.ProxyProgram += "-absent" }, "no such file"},
		{"invalid settings", func(_ *scale.Env, c *scale.ProxyConfig) { c.Settings.Membership = "never" }, "membership_mode"},
		{"too few sockets", func(_ *scale.Env, c *scale.ProxyConfig) { c.SocketLimit = 3 }, "too few"},
	} {
		t.Run(test.name, func(t *testing.T) {
			env, config := scaletest.Env(t), proxyConfig(backend)
			test.change(&env, &config)
			_, err := scale.StartProxy(t.Context(), env, config)
			if err == nil || !strings.Contains(err.Error(), test.want) || strings.Contains(err.Error(), "\n") {
				t.Errorf("got error %v, want one line with %q", err, test.want)
			}
			if n := env.Budget.Processes(); n != 0 {
				t.Errorf("%d processes still run", n)
			}
		})
	}
}

func TestStartProxyCancelledLeavesNoProcess(t *testing.T) {
	env, config := scaletest.Env(t), proxyConfig(startBackend(t))
	config.Known = nil // without an endpoint list the proxy never becomes healthy
	stop := errors.New("stopped by the test")
	ctx, cancel := context.WithCancelCause(t.Context())
	config.Log = writerFunc(func([]byte) { cancel(stop) })
	if _, err := scale.StartProxy(ctx, env, config); !errors.Is(err, stop) {
		t.Errorf("got error %v, want %v", err, stop)
	}
	if n := env.Budget.Processes(); n != 0 {
		t.Errorf("%d processes still run", n)
	}
}

type writerFunc func([]byte)

func (f writerFunc) Write(data []byte) (int, error) {
	f(data)
	return len(data), nil
}
