// Case 6: peers send a head with many short fields, stop before the body and stay. The proxy goes over its memory limit.
package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	s "review/standin2"
)

const (
	goodClients = 5
	service     = 300 * time.Millisecond
	clientPause = 100 * time.Millisecond
	quiet       = 2 * time.Second // before the first bad peer

	waves     = 4
	peers     = 240 // of a wave; the proxy has 512 descriptors
	wave      = 3 * time.Second
	headBytes = 19 << 10 // of a peer; the proxy accepts heads of up to 20 KiB

	watchInterval = 10 * time.Millisecond
	bytesPerKB    = 1 << 10
	bytesPerMB    = 1 << 20
)

func main() { s.Main(run) }

func run(c *s.Case) error {
	serve := func(conn net.Conn, r *http.Request, _ []byte) bool {
		time.Sleep(service)
		_, err := fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		return err == nil
	}
	p, err := c.StartSmall(serve)
	if err != nil {
		return err
	}
	var stop atomic.Bool
	var goroutines sync.WaitGroup
	goroutines.Go(func() { watchMemory(c, p, &stop) })
	for range goodClients {
		goroutines.Go(func() { goodClient(c, p, &stop) })
	}
	time.Sleep(quiet)
	for range waves {
		if c.Trouble && !p.HasExited() {
			badPeers(c, p.Address)
		} else {
			time.Sleep(wave)
		}
	}
	stop.Store(true)
	goroutines.Wait()
	return nil
}

// goodClient sends proper requests, one after another.
func goodClient(c *s.Case, p *s.Proxy, stop *atomic.Bool) {
	for !stop.Load() && !p.HasExited() {
		conn, err := s.Dial(p.Address)
		if err != nil {
			c.Log("client: %v", err)
			return
		}
		r := s.NewRequest(s.Ticket, "a voicemail")
		a := conn.Do(r, r.Timeout)
		conn.Close()
		c.Log("client: %s: %v", r.ID, a)
		time.Sleep(clientPause)
	}
}

// badPeers opens a wave of connections, sends a head on each and keeps them open for some time.
func badPeers(c *s.Case, address string) {
	head := badHead()
	var conns []*s.Conn
	for range peers {
		conn, err := s.Dial(address)
		if err != nil {
			c.Log("bad peer: %v", err)
			break
		}
		defer conn.Close()
		_, _ = conn.Write([]byte(strings.Replace(head, "ID", s.NewID(), 1)))
		conns = append(conns, conn)
	}
	c.Log("bad peers: %d connections, %d bytes on each", len(conns), len(head))
	time.Sleep(wave)
}

// badHead returns the head of a request whose body never comes.
func badHead() string {
	const letters = "abcdefghijklmnopqrstuvwxyz"
	var b strings.Builder
	b.WriteString("POST /ticket HTTP/1.1\r\nHost: backend.local\r\nRequest-Id: ID\r\nRequest-Class: ticket\r\nTenant: billing\r\n" +
		"Request-Timeout-Ms: 4000\r\nContent-Length: 10\r\n")
	for i := 0; b.Len() < headBytes-len("abc:\r\n\r\n")-len("0123456789abcdef"); i++ {
		n := len(letters)
		fmt.Fprintf(&b, "%c%c%c:\r\n", letters[i%n], letters[i/n%n], letters[i/n/n%n])
	}
	b.WriteString("\r\n")
	return b.String()
}

// watchMemory is the platform: it kills a proxy that goes over its memory limit. It counts only the anonymous memory of the
// process and the files in its temporary folder, not the pages of its program.
func watchMemory(c *s.Case, p *s.Proxy, stop *atomic.Bool) {
	limit, peak := p.Config.MemoryMB*bytesPerMB, 0
	defer func() {
		c.Log("platform: peak of the proxy's memory %d kB of %d kB", peak/bytesPerKB, limit/bytesPerKB)
	}()
	for ; !stop.Load() && !p.HasExited(); time.Sleep(watchInterval) {
		memory := anonymousMemory(p.Pid()) + folderSize(c.Path("tmp"))
		if peak = max(peak, memory); memory <= limit {
			continue
		}
		c.Broken("the proxy is killed: its memory is %d kB, its limit %d kB", memory/bytesPerKB, limit/bytesPerKB)
		_ = p.Signal(syscall.SIGKILL)
		return
	}
}

func anonymousMemory(pid int) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	kB := 0
	for line := range strings.Lines(string(data)) {
		_, _ = fmt.Sscanf(line, "RssAnon: %d", &kB)
	}
	return kB * bytesPerKB
}

func folderSize(path string) (size int) {
	files, _ := filepath.Glob(filepath.Join(path, "*"))
	for _, file := range files {
		if info, err := os.Stat(file); err == nil {
			size += int(info.Size())
		}
	}
	return size
}
