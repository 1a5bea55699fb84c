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

// The default limits of a proxy, which apply where ProxyConfig sets none. They are those of the platform.
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
	Discovery string // host:port of the discovery service
	Seed      uint64
	Known     *discovery.List // last known endpoint list, with which the proxy starts; may be nil
	Settings  Settings

	MemoryLimitMB float64   // memory limit in its configuration; 0: 192
	SocketLimit   int       // limit of file descriptors; 0: 1,024
	CoreLimit     float64   // limit of CPU time, in cores; 0: 1
	Cores         []int     // cores that it may use; empty: those of the tool
	Log           io.Writer // receives its output; may be nil
}

// Proxy is a process of the real proxy.
type Proxy struct {
	*Process
	Address    string        // host:port for clients
	ConfigPath string        // path of its configuration file
	ReadyAfter time.Duration // from its start until it was healthy
	config     ProxyConfig
	port       *portReservation // for the port of Address; nil if the caller chose the address
}

// StartProxy starts the real proxy's program and returns once GET /_health responds 200. For that, the proxy needs an
// endpoint list from discovery or ProxyConfig.Known. StartProxy returns an error, and leaves no process, if the proxy
// is not healthy after 30 s or if the process or the context ends before that. The proxy runs until Stop, Kill or the
// end of the context.
func StartProxy(ctx context.Context, env Env, config ProxyConfig) (*Proxy, error) {
	if env.ProxyProgram == "" {
		return nil, ErrProxyMissing
	}
	proxy := &Proxy{config: config, Address: config.Listen}
	if config.Listen == "" {
		port, err := reservePort()
		if err != nil {
			return nil, fmt.Errorf("reserve a port for proxy %s: %w", config.Name, err)
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
	tempDir := filepath.Join(dir, "tmp")
	if err := os.MkdirAll(tempDir, 0o700); err != nil {
		return err
	}
	p.ConfigPath = filepath.Join(dir, "config.json")
	if err := p.WriteConfig(p.config); err != nil {
		return err
	}
	process, err := StartProgram(ctx, env, Program{Path: env.ProxyProgram, Cores: p.config.Cores, Log: p.config.Log,
		Env: []string{"LB_CONFIG=" + p.ConfigPath, "LB_NAME=" + p.config.Name, "TMPDIR=" + tempDir}})
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

// WriteConfig replaces the proxy's configuration file but keeps the listen address. A running proxy reads the file on
// Reload.
func (p *Proxy) WriteConfig(config ProxyConfig) error {
	data, err := json.MarshalIndent(config.file(p.Address), "", " ")
	if err != nil {
		return fmt.Errorf("write configuration: %w", err)
	}
	temporary := p.ConfigPath + ".new" // renamed below, so that the proxy never reads a partial file
	if err := os.WriteFile(temporary, data, 0o600); err != nil {
		return fmt.Errorf("write configuration: %w", err)
	}
	return os.Rename(temporary, p.ConfigPath)
}

// Reload sends SIGHUP, which makes the proxy read its configuration file again.
func (p *Proxy) Reload() error { return p.Signal(syscall.SIGHUP) }

// configFile is the JSON format of the configuration file.
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

// file returns the content of the configuration file, with the default limits where c sets none.
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

// waitUntilReady returns nil once the proxy is healthy. It returns an error if the process or the context ends first,
// or after readyTimeout.
func (p *Proxy) waitUntilReady(ctx context.Context) error {
	timeout := time.NewTimer(readyTimeout)
	defer timeout.Stop()
	ticker := time.NewTicker(healthInterval)
	defer ticker.Stop()
	client := &http.Client{Timeout: healthTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	for !healthy(ctx, client, p.Address) {
		select {
		case <-ticker.C:
		case <-p.Ended():
			if err := p.Err(); err != nil {
				return err
			}
			return ErrProcessEnded
		case <-timeout.C:
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

// portReservation is a socket bound to a port of 127.0.0.1, so that no other program gets the port before the proxy
// starts or between two starts. The proxy itself can listen there because both sockets set SO_REUSEPORT.
type portReservation struct {
	address string
	socket  int // file descriptor
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
	ipv4, ok := bound.(*syscall.SockaddrInet4)
	if !ok {
		return "", fmt.Errorf("bound to %v, want an IPv4 address", bound)
	}
	return net.JoinHostPort("127.0.0.1", strconv.Itoa(ipv4.Port)), nil
}

// close releases the port. It does nothing on a nil reservation.
func (r *portReservation) close() {
	if r != nil {
		_ = syscall.Close(r.socket) // an error loses nothing, as the socket carries no data
	}
}
