package scale

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"syscall"
	"time"

	"baylock/internal/discovery"
)

// BuildCommand builds the program of the real proxy at its default path.
const BuildCommand = "mkdir -p bin && go build -o bin/ ./cmd/baylock"

// The limits of a proxy for which ProxyConfig states none: those of the platform.
const (
	defaultMemoryMB = 192
	defaultSockets  = 1024
	defaultCores    = 1
)

const (
	readyTimeout   = 30 * time.Second
	healthInterval = 2 * time.Millisecond
	healthTimeout  = time.Second
)

const soReusePort = 0xf // SO_REUSEPORT, which package syscall lacks

// ProxyConfig configures a real proxy.
type ProxyConfig struct {
	Name      string // distinct among the proxies that run at the same time
	Listen    string // host:port for clients; empty: a free port of 127.0.0.1
	Console   string // host:port for operators; empty: none
	Discovery string // host:port
	Seed      uint64
	Known     *discovery.List // the list as last known; may be nil
	Settings  Settings

	MemoryLimitMB float64   // memory limit in its configuration; 0: 192
	SocketLimit   int       // limit of file descriptors; 0: 1,024
	CoreLimit     float64   // limit of CPU time, in cores; 0: 1
	Cores         []int     // cores that it may use; empty: those of the tool
	Log           io.Writer // receives its output; may be nil
}

// Proxy is a real proxy that runs.
type Proxy struct {
	*Process
	Address    string        // host:port for clients
	ConfigPath string        // of its configuration file
	ReadyAfter time.Duration // from its start until it was healthy
	config     ProxyConfig
	port       *portReservation // of Address; nil if the caller chose that
}

// StartProxy starts the real proxy's program and returns once GET /_health responds 200, for which it needs an endpoint
// list from discovery or ProxyConfig.Known. It fails, and leaves no process, if that takes longer than 30 s or if the
// program or the context ends. The proxy runs until Stop, Kill or the end of the context.
func StartProxy(ctx context.Context, env Env, config ProxyConfig) (*Proxy, error) {
	if env.ProxyProgram == "" {
		return nil, ErrProxyMissing
	}
	proxy := &Proxy{config: config, Address: config.Listen}
	if config.Listen == "" {
		port, err := reservePort()
		if err != nil {
			return nil, fmt.Errorf("address for proxy %s: %w", config.Name, err)
		}
		proxy.port, proxy.Address = port, port.address
	}
	if err := proxy.start(ctx, env); err != nil {
		proxy.port.close()
		return nil, fmt.Errorf("proxy %s: %w", config.Name, err)
	}
	go func() {
		<-proxy.Ended()
		proxy.port.close()
	}()
	return proxy, nil
}

func (p *Proxy) start(ctx context.Context, env Env) error {
	dir := filepath.Join(env.TempDir, p.config.Name)
	shared := filepath.Join(dir, "tmp")
	if err := os.MkdirAll(shared, 0o700); err != nil {
		return err
	}
	p.ConfigPath = filepath.Join(dir, "config.json")
	if err := p.WriteConfig(p.config); err != nil {
		return err
	}
	process, err := StartProgram(ctx, env, Program{Path: env.ProxyProgram, Cores: p.config.Cores, Log: p.config.Log,
		Env: []string{"LB_CONFIG=" + p.ConfigPath, "LB_NAME=" + p.config.Name, "TMPDIR=" + shared}})
	if err != nil {
		return err
	}
	p.Process = process
	if err := p.waitUntilReady(ctx); err != nil {
		p.Kill()
		return err
	}
	p.ReadyAfter = time.Since(process.started)
	return nil
}

// WriteConfig replaces the proxy's configuration file, with the same address. A running proxy reads it at Reload.
func (p *Proxy) WriteConfig(config ProxyConfig) error {
	data, err := json.MarshalIndent(config.file(p.Address), "", " ")
	if err != nil {
		return fmt.Errorf("write configuration: %w", err)
	}
	next := p.ConfigPath + ".new" // renamed, so that the proxy never reads a partial file
	if err := os.WriteFile(next, data, 0o600); err != nil {
		return fmt.Errorf("write configuration: %w", err)
	}
	return os.Rename(next, p.ConfigPath)
}

// Reload makes the proxy read its configuration file again.
func (p *Proxy) Reload() error { return p.Signal(syscall.SIGHUP) }

// configFile is the form of the configuration file.
type configFile struct {
	Name      string          `json:"name"`
	Listen    string          `json:"listen"`
	Console   string          `json:"console,omitempty"`
	Discovery string          `json:"discovery"`
	Seed      string          `json:"seed"`
	Limits    configLimits    `json:"limits"`
	Known     *discovery.List `json:"known,omitempty"`
	Settings  Settings        `json:"settings"`
}

type configLimits struct {
	Cores    float64 `json:"cores"`
	MemoryMB float64 `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

func (c ProxyConfig) file(listen string) configFile {
	limits := configLimits{Cores: c.CoreLimit, MemoryMB: c.MemoryLimitMB, Sockets: c.SocketLimit}
	if limits.Cores == 0 {
		limits.Cores = defaultCores
	}
	if limits.MemoryMB == 0 {
		limits.MemoryMB = defaultMemoryMB
	}
	if limits.Sockets == 0 {
		limits.Sockets = defaultSockets
	}
	return configFile{Name: c.Name, Listen: listen, Console: c.Console, Discovery: c.Discovery,
		Seed: strconv.FormatUint(c.Seed, 16), Limits: limits, Known: c.Known, Settings: c.Settings}
}

// waitUntilReady returns once the proxy is healthy.
func (p *Proxy) waitUntilReady(ctx context.Context) error {
	late := time.NewTimer(readyTimeout)
	defer late.Stop()
	next := time.NewTicker(healthInterval)
	defer next.Stop()
	client := &http.Client{Timeout: healthTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	for !healthy(ctx, client, p.Address) {
		select {
		case <-next.C:
		case <-p.Ended():
			if err := p.Err(); err != nil {
				return err
			}
			return ErrProcessEnded
		case <-late.C:
			return fmt.Errorf("not healthy after %v", readyTimeout)
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
	return nil
}

func healthy(ctx context.Context, client *http.Client, address string) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/_health", nil)
	if err != nil {
		return false
	}
	response, err := client.Do(request)
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// portReservation holds a port of 127.0.0.1 for a proxy, which listens there with SO_REUSEPORT, so that no other
// program gets it before the proxy starts or between two starts.
type portReservation struct {
	address string
	socket  int
}

func reservePort() (*portReservation, error) {
	socket, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, err
	}
	address, err := bindLoopback(socket)
	if err != nil {
		syscall.Close(socket)
		return nil, err
	}
	return &portReservation{address: address, socket: socket}, nil
}

// bindLoopback binds a socket to a free port of 127.0.0.1 and returns the address.
func bindLoopback(socket int) (string, error) {
	if err := syscall.SetsockoptInt(socket, syscall.SOL_SOCKET, soReusePort, 1); err != nil {
		return "", err
	}
	if err := syscall.Bind(socket, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		return "", err
	}
	bound, err := syscall.Getsockname(socket)
	if err != nil {
		return "", err
	}
	name, ok := bound.(*syscall.SockaddrInet4)
	if !ok {
		return "", fmt.Errorf("bound to %v, want an IPv4 address", bound)
	}
	return net.JoinHostPort("127.0.0.1", strconv.Itoa(name.Port)), nil
}

// close releases the port. A nil reservation has none.
func (r *portReservation) close() {
	if r != nil {
		_ = syscall.Close(r.socket) // the socket carries no data
	}
}
