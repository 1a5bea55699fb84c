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

// BuildCommand builds the program of the real proxy where the command looks for it.
const BuildCommand = "mkdir -p bin && go build -o bin/ ./cmd/baylock"

// The limits of a proxy if ProxyConfig names none: those of the platform.
const (
	defaultMemoryMB = 192
	defaultSockets  = 1024
	defaultCores    = 1
)

const (
	readyPatience = 30 * time.Second
	healthEvery   = 2 * time.Millisecond
	healthTimeout = time.Second
)

const soReusePort = 0xf // SO_REUSEPORT

// ProxyConfig says how to start a real proxy.
type ProxyConfig struct {
	Name      string // must be distinct among the proxies of a run that live at the same time
	Listen    string // host:port for clients; empty: a free port of 127.0.0.1
	Console   string // host:port for operators; empty: none
	Discovery string // host:port
	Seed      uint64
	Known     *discovery.List // the list as it last had it; may be nil
	Settings  Settings

	MemoryMB float64   // the limit that it is told; 0: 192
	Sockets  int       // the same of its descriptors; 0: 1,024
	MaxCores float64   // the same of its processor time, in cores; 0: 1
	Cores    []int     // the cores on which it may run; empty: those of the tool
	Log      io.Writer // takes what it writes; nil: only the end of it is kept, for errors
}

// Proxy is a real proxy that serves.
type Proxy struct {
	*Process
	Address    string        // host:port for clients
	ConfigPath string        // of its configuration file
	ReadyAfter time.Duration // from its start until it first said that it is healthy
	config     ProxyConfig
	place      *reservation // of its address; nil if the caller chose it
}

// StartProxy starts the real proxy's program and returns once its GET /_health answers 200, which takes a list of
// backends from discovery or ProxyConfig.Known. It fails if that takes longer than 30 s, if the program ends or if the
// context does; nothing is left then. The proxy ends with Stop or Kill, and at the latest with the context.
func StartProxy(ctx context.Context, env Env, config ProxyConfig) (*Proxy, error) {
	if env.ProxyProgram == "" {
		return nil, ErrNoProxy
	}
	proxy := &Proxy{config: config, Address: config.Listen}
	if config.Listen == "" {
		place, err := reserve()
		if err != nil {
			return nil, fmt.Errorf("find an address for proxy %s: %w", config.Name, err)
		}
		proxy.place, proxy.Address = place, place.address
	}
	if err := proxy.start(ctx, env); err != nil {
		proxy.place.close()
		return nil, fmt.Errorf("proxy %s: %w", config.Name, err)
	}
	go func() {
		<-proxy.Ended()
		proxy.place.close()
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
	if err := p.awaitReady(ctx); err != nil {
		p.Kill()
		return err
	}
	p.ReadyAfter = time.Since(process.started)
	return nil
}

// WriteConfig writes the proxy's configuration file anew. The running proxy keeps what it has until Reload, or until a
// new process of it starts; its address stays as it is.
func (p *Proxy) WriteConfig(config ProxyConfig) error {
	data, err := json.MarshalIndent(config.file(p.Address), "", " ")
	if err != nil {
		return fmt.Errorf("write the configuration: %w", err)
	}
	next := p.ConfigPath + ".new" // the proxy never sees half a file
	if err := os.WriteFile(next, data, 0o600); err != nil {
		return fmt.Errorf("write the configuration: %w", err)
	}
	return os.Rename(next, p.ConfigPath)
}

// Reload tells the proxy to read its configuration file again.
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
	limits := configLimits{Cores: c.MaxCores, MemoryMB: c.MemoryMB, Sockets: c.Sockets}
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

// awaitReady returns once the proxy is healthy.
func (p *Proxy) awaitReady(ctx context.Context) error {
	late := time.NewTimer(readyPatience)
	defer late.Stop()
	next := time.NewTicker(healthEvery)
	defer next.Stop()
	client := &http.Client{Timeout: healthTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	for !healthy(ctx, client, p.Address) {
		select {
		case <-next.C:
		case <-p.Ended():
			if err := p.Err(); err != nil {
				return err
			}
			return ErrEnded
		case <-late.C:
			return fmt.Errorf("not healthy after %v", readyPatience)
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

// reservation holds a port of 127.0.0.1 for a proxy, which listens there with SO_REUSEPORT: no other program of the
// machine gets it between the choice and the proxy's start, nor between one start and the next.
type reservation struct {
	address string
	socket  int
}

func reserve() (*reservation, error) {
	socket, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, err
	}
	address, err := bindLoopback(socket)
	if err != nil {
		syscall.Close(socket)
		return nil, err
	}
	return &reservation{address: address, socket: socket}, nil
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
		return "", fmt.Errorf("bound to an address of an unknown kind: %v", bound)
	}
	return net.JoinHostPort("127.0.0.1", strconv.Itoa(name.Port)), nil
}

// close gives the port free; a nil reservation has none.
func (r *reservation) close() {
	if r != nil {
		_ = syscall.Close(r.socket) // of a socket that holds no data: nothing can be lost
	}
}
