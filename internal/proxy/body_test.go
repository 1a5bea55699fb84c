package proxy

import (
	"bytes"
	"crypto/sha256"
	"errors"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"baylock/balancer"
	"baylock/internal/config"
	"baylock/internal/discovery"
	"baylock/internal/message"
	"baylock/internal/settings"
	"baylock/internal/upstream"
)

// text is a body whose every part differs.
func text(n int) string {
	var b strings.Builder
	for i := 0; b.Len() < n; i++ {
		fmt.Fprintf(&b, "%07d ", i)
	}
	return b.String()[:n]
}

// chunked writes a body in pieces of that size, with a trailer.
func chunked(body string, piece int) string {
	var b strings.Builder
	for ; len(body) > 0; body = body[min(piece, len(body)):] {
		p := body[:min(piece, len(body))]
		fmt.Fprintf(&b, "%x;x=y\r\n%s\r\n", len(p), p)
	}
	return b.String() + "0\r\nX-Sum: 1\r\n\r\n"
}

// echo answers a request with its own body, or where the query says so with as many bytes, framed in its turn.
func echo(w io.Writer, r *http.Request, body []byte) {
	if n := r.URL.Query().Get("n"); n != "" {
		var size int
		_, _ = fmt.Sscan(n, &size)
		body = []byte(text(size))
	}
	if r.URL.Query().Get("chunked") != "" {
		_, _ = io.WriteString(w, "HTTP/1.1 200 OK\r\nTrailer: X-Sum\r\nTransfer-Encoding: chunked\r\n\r\n"+chunked(string(body), 10_000))
		return
	}
	_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// startReader is a backend that gets each request's body; it is asked for an answer when all of it has come.
func startReader(t *testing.T, reply func(w io.Writer, r *http.Request, body []byte)) *fakeBackend {
	t.Helper()
	var came atomic.Pointer[fakeBackend]
	b := startRawBackend(t, func(w io.Writer, r *http.Request) bool {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return false
		}
		if b := came.Load(); b != nil {
			b.requests.Add(1)
		}
		reply(w, r, body)
		return true
	})
	came.Store(b)
	return b
}

func withBackend(t *testing.T, b *fakeBackend) *running {
	t.Helper()
	return startProxy(t, startDiscovery(t).addr, 400, listText(1, true, listed("a", b.addr, discovery.Serving)))
}

// Long bodies pass both ways unchanged, in every framing and however they are cut, on a connection that is kept.
func TestLongBodiesPassUnchanged(t *testing.T) {
	b := startReader(t, echo)
	p := withBackend(t, b)
	c := connect(t, p)
	n := 0
	for _, size := range []int{0, 1, 5, 4096, message.MaxBuffered - 1, message.MaxBuffered, message.MaxBuffered + 1, 300_000, 3_000_000} {
		for _, in := range []string{"length", "chunks"} {
			for _, out := range []string{"", "?chunked=1"} {
				n++
				body := text(size)
				head := strings.Replace(post(fmt.Sprint("r", n), "Content-Length: "+fmt.Sprint(size)), "/k ", "/k"+out+" ", 1)
				sent := body
				if in == "chunks" {
					head = strings.Replace(head, "Content-Length: "+fmt.Sprint(size), "Transfer-Encoding: chunked\r\nTrailer: X-Sum", 1)
					sent = chunked(body, 7000)
				}
				go func() { _, _ = io.WriteString(c, head+sent) }()
				resp, got := c.answer(t)
				if resp.StatusCode != 200 || got != body || resp.Close {
					t.Fatalf("%d bytes in %s, answer %q: got %s with %d bytes, close %v", size, in, out, resp.Status, len(got), resp.Close)
				}
				time.Sleep(upstream.ReuseDelay) // idle connections may be used again
			}
		}
	}
	waitUntil(t, func() bool { return p.limits.budget.InUse() == 0 })
}

// 32 MB pass, one byte more does not.
func TestTheLongestBody(t *testing.T) {
	b := startReader(t, func(w io.Writer, r *http.Request, body []byte) {
		_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", message.MaxBody)
		_, _ = w.Write(body)
	})
	p := withBackend(t, b)
	c := connect(t, p)
	body := bytes.Repeat([]byte("0123456789abcdef"), message.MaxBody/16)
	go func() {
		_, _ = io.WriteString(c, post("1", fmt.Sprint("Content-Length: ", message.MaxBody)))
		_, _ = c.Write(body)
	}()
	resp, err := http.ReadResponse(c.r, nil)
	if err != nil {
		t.Fatal(err)
	}
	sum := sha256.New()
	if n, err := io.Copy(sum, resp.Body); n != message.MaxBody || err != nil || [32]byte(sum.Sum(nil)) != sha256.Sum256(body) {
		t.Errorf("got %d bytes, %v", n, err)
	}
	c = connect(t, p) // the length shows only when it has come
	go func() {
		_, _ = io.WriteString(c, post("2", "Transfer-Encoding: chunked"))
		for range message.MaxBody/len(body[:1<<20]) + 1 {
			if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", 1<<20, body[:1<<20]); err != nil {
				return
			}
		}
	}()
	if resp, _ := c.answer(t); resp.StatusCode != 413 || !resp.Close {
		t.Errorf("a longer one: got %s", resp.Status)
	}
	if n := b.requests.Load(); n != 1 {
		t.Errorf("%d requests came whole", n)
	}
}

// Pieces cut anywhere, slowly: the head, the body, the answer. The time of a request counts from its last byte, so
// one that takes longer to come than its client will wait for the answer is served.
func TestSlowBodiesHaveTheirTime(t *testing.T) {
	b := startReader(t, func(w io.Writer, r *http.Request, body []byte) {
		for _, piece := range []string{"HTT", "P/1.1 200 OK\r\nContent-Le", fmt.Sprintf("ngth: %d\r", len(body)), "\n\r", "\n"} {
			_, _ = io.WriteString(w, piece)
			time.Sleep(20 * time.Millisecond)
		}
		for ; len(body) > 0; body = body[min(len(body), 9000):] {
			_, _ = w.Write(body[:min(len(body), 9000)])
			time.Sleep(20 * time.Millisecond)
		}
	})
	p := withBackend(t, b)
	var all sync.WaitGroup
	for i, size := range []int{100, 30_000, 150_000} {
		c := connect(t, p)
		body := text(size)
		all.Go(func() {
			head := strings.Replace(post(fmt.Sprint(i), "Content-Length: "+fmt.Sprint(size)), "-Ms: 4000", "-Ms: 900", 1)
			for ; len(head) > 0; head = head[min(len(head), 7):] {
				_, _ = io.WriteString(c, head[:min(len(head), 7)])
				time.Sleep(10 * time.Millisecond)
			}
			step := size/25 + 1
			for rest := body; len(rest) > 0; rest = rest[min(len(rest), step):] {
				_, _ = io.WriteString(c, rest[:min(len(rest), step)])
				time.Sleep(40 * time.Millisecond) // 1 s in all
			}
			if resp, got := c.answer(t); resp.StatusCode != 200 || got != body {
				t.Errorf("%d bytes: got %s with %d", size, resp.Status, len(got))
			}
		})
	}
	all.Wait()
}

// A client that asks first is told to go on.
func TestExpectContinue(t *testing.T) {
	p := withBackend(t, startReader(t, echo))
	for i, size := range []int{10, 200_000} {
		c := connect(t, p)
		c.send(t, post(fmt.Sprint(i), fmt.Sprintf("Expect: 100-continue\r\nContent-Length: %d", size)))
		if resp, err := http.ReadResponse(c.r, nil); err != nil || resp.StatusCode != 100 {
			t.Fatalf("got %v, %v", resp, err)
		}
		go func() { _, _ = io.WriteString(c, text(size)) }()
		if resp, body := c.answer(t); resp.StatusCode != 200 || body != text(size) {
			t.Errorf("got %s with %d bytes", resp.Status, len(body))
		}
	}
}

// Many long bodies at once, together far over the limit, read slowly: the memory stays small, and what is held stays
// within its budget.
func TestManyLongBodiesTakeLittleMemory(t *testing.T) {
	const size, many = 4 << 20, 60
	body := bytes.Repeat([]byte("0123456789abcdef"), size/16)
	b := startRawBackend(t, func(w io.Writer, r *http.Request) bool {
		_, err := io.Copy(io.Discard, r.Body)
		_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", size)
		_, _ = w.Write(body)
		return err == nil
	})
	site, err := settings.Decode([]byte(siteText))
	if err != nil {
		t.Fatal(err)
	}
	cfg := config.Config{Listen: "127.0.0.1:0", Discovery: startDiscovery(t).addr, Seed: 7, Limits: config.Limits{Sockets: 1024, MemoryMB: 32},
		Site: site}
	if cfg.Known, err = discovery.ParseList([]byte(listText(1, true, listed("a", b.addr, discovery.Serving)))); err != nil {
		t.Fatal(err)
	}
	p := start(t, cfg)
	var before, now runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	var all sync.WaitGroup
	var most atomic.Uint64
	var whole atomic.Int32
	for i := range many {
		c := connect(t, p)
		all.Go(func() {
			go func() {
				_, _ = io.WriteString(c, post(fmt.Sprint("r", i), fmt.Sprint("Content-Length: ", size)))
				_, _ = c.Write(body)
			}()
			resp, err := http.ReadResponse(c.r, nil)
			if err == nil && resp.StatusCode == 503 { // on a busy machine the rules may refuse some
				return
			}
			if err != nil || resp.StatusCode != 200 {
				t.Errorf("got %v, %v", resp, err)
				return
			}
			whole.Add(1)
			got := 0
			buf := make([]byte, 256<<10)
			for {
				n, err := resp.Body.Read(buf)
				if got += n; err == io.EOF {
					break
				} else if err != nil {
					t.Errorf("after %d bytes: %v", got, err)
					return
				}
				time.Sleep(time.Millisecond)
			}
			if got != size {
				t.Errorf("got %d bytes", got)
			}
		})
	}
	done := make(chan struct{})
	go func() { all.Wait(); close(done) }()
	for end := false; !end; {
		select {
		case <-done:
			end = true
		case <-time.After(20 * time.Millisecond):
			runtime.ReadMemStats(&now)
			most.Store(max(most.Load(), now.HeapInuse))
			if n := p.limits.budget.InUse(); n > p.limits.budget.Limit() {
				t.Fatalf("%d bytes are held of at most %d", n, p.limits.budget.Limit())
			}
		}
	}
	if n := whole.Load(); n < many/3 {
		t.Errorf("%d of %d were served", n, many)
	}
	// The clients' own buffers are counted in.
	if grown := int64(most.Load()) - int64(before.HeapInuse); grown > (32<<20)+many*(256<<10) {
		t.Errorf("%d MB more memory in use", grown>>20)
	}
	waitUntil(t, func() bool { return p.limits.budget.InUse() == 0 })
}

// Without room a body is not held but passed on, and none waits.
func TestAFullBudgetHoldsNothing(t *testing.T) {
	p := withBackend(t, startReader(t, echo))
	all := p.limits.budget.Reserve()
	if !all.Grow(p.limits.budget.Limit()) {
		t.Fatal("no budget")
	}
	c := connect(t, p)
	c.send(t, post("1", "Content-Length: 30000")+text(30000))
	if resp, body := c.answer(t); resp.StatusCode != 200 || body != text(30000) {
		t.Errorf("got %s with %d bytes", resp.Status, len(body))
	}
	all.Release()
	if all.Grow(1) || p.limits.budget.InUse() != 0 {
		t.Error("a lease goes on after its end")
	}
}

// nothingLeft waits until nothing is left of any request.
func nothingLeft(t *testing.T, p *running) {
	t.Helper()
	waitUntil(t, func() bool {
		left := make(chan int, 1)
		p.onLoop(func() { left <- len(p.loop.requests) + p.loop.timers.Len() })
		n := wait(t, "word of the loop", left)
		pool := p.loop.pool.Stats()
		return n == 0 && pool.Open == pool.Idle && p.limits.budget.InUse() == 0
	})
}

// A client that leaves while it writes or reads a long body leaves nothing behind, and the backend is told by a close;
// one that only stops is told so.
func TestAClientThatLeavesInMidBody(t *testing.T) {
	stop := make(chan struct{})
	b := startRawBackend(t, func(w io.Writer, r *http.Request) bool {
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return false
		}
		_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", 1<<20, text(100_000))
		<-stop
		return false
	})
	defer close(stop)
	p := withBackend(t, b)
	for i := range 3 {
		c := connect(t, p)
		c.send(t, post(fmt.Sprint("u", i), "Content-Length: 300000")+text(100_000))
		waitUntil(t, func() bool { return int(b.begun.Load()) == i+1 })
		c.Close()
		wait(t, "end of the backend's connection", b.closed)
		nothingLeft(t, p)
	}
	c := connect(t, p)
	c.send(t, post("stops", "Content-Length: 300000")+text(100_000))
	if resp, _ := c.answer(t); resp.StatusCode != 400 || !resp.Close {
		t.Errorf("one that stops: got %s", resp.Status)
	}
	wait(t, "end of the backend's connection", b.closed)
	nothingLeft(t, p)
	if n := b.requests.Load(); n != 0 {
		t.Errorf("%d requests came whole", n)
	}
	c = connect(t, p)
	c.send(t, post("d", "Content-Length: 0"))
	resp, err := http.ReadResponse(c.r, nil)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.CopyN(io.Discard, resp.Body, 50_000); err != nil {
		t.Fatal(err)
	}
	c.Close()
	nothingLeft(t, p)
}

// A backend that breaks off in the middle of a long answer: the client can tell, nobody else is asked, and nothing is
// made up.
func TestABrokenAnswerLooksBroken(t *testing.T) {
	for name, head := range map[string]string{"length": "Content-Length: 300000\r\n\r\n", "chunks": "Transfer-Encoding: chunked\r\n\r\n493e0\r\n"} {
		t.Run(name, func(t *testing.T) {
			b := startReader(t, func(w io.Writer, _ *http.Request, _ []byte) {
				_, _ = io.WriteString(w, "HTTP/1.1 200 OK\r\n"+head+text(200_000))
				w.(io.Closer).Close()
			})
			p := withBackend(t, b)
			c := connect(t, p)
			c.send(t, look("1", 4000))
			resp, err := http.ReadResponse(c.r, nil)
			if err != nil {
				t.Fatal(err)
			}
			body, err := io.ReadAll(resp.Body)
			if !errors.Is(err, io.ErrUnexpectedEOF) || !strings.HasPrefix(text(300_000), string(body)) {
				t.Errorf("got %d bytes, %v", len(body), err)
			}
			nothingLeft(t, p)
			if n := b.requests.Load(); n != 1 {
				t.Errorf("%d attempts", n)
			}
		})
	}
}

// What is held can be sent to another backend; what has been passed on can't, and its client hears so at once.
func TestOnlyWhatIsHeldIsSentAgain(t *testing.T) {
	full := func(w io.Writer, r *http.Request) bool { // before it has the whole request
		_, _ = io.WriteString(w, "HTTP/1.1 503 No\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n")
		return false
	}
	for _, c := range []struct {
		size, want int
	}{{40_000, 200}, {2_000_000, 503}} {
		var refused atomic.Int32
		a := startRawBackend(t, func(w io.Writer, r *http.Request) bool { refused.Add(1); return full(w, r) })
		b := startReader(t, echo)
		p := startProxy(t, startDiscovery(t).addr, 400, listText(1, true, listed("a", a.addr, discovery.Serving), listed("b", b.addr, discovery.Serving)))
		for i := 0; refused.Load() == 0 && i < 200; i++ {
			cl := connect(t, p)
			body := text(c.size)
			before := refused.Load()
			go func() { _, _ = io.WriteString(cl, post(fmt.Sprint(i), "Content-Length: "+fmt.Sprint(c.size))+body) }()
			start := time.Now()
			resp, got := cl.answer(t)
			if refused.Load() > before && resp.StatusCode != c.want || resp.StatusCode == 200 && got != body {
				t.Errorf("%d bytes: got %s with %d bytes", c.size, resp.Status, len(got))
			}
			if took := time.Since(start); took > 2*time.Second {
				t.Errorf("%d bytes: answered after %v", c.size, took)
			}
		}
		if refused.Load() == 0 {
			t.Errorf("%d bytes: no request met the full backend", c.size)
		}
	}
}

// No answer that is being passed on is cut off by SIGTERM; the process ends with it.
func TestSIGTERMLeavesLongAnswersTheirTime(t *testing.T) {
	release := make(chan struct{})
	b := startReader(t, func(w io.Writer, _ *http.Request, _ []byte) {
		_, _ = io.WriteString(w, "HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n"+text(200_000)[:100_000])
		<-release
		_, _ = io.WriteString(w, text(200_000)[100_000:])
	})
	p := withBackend(t, b)
	c := connect(t, p)
	c.send(t, look("1", 4000))
	resp, err := http.ReadResponse(c.r, nil)
	if err != nil {
		t.Fatal(err)
	}
	p.stop()
	time.AfterFunc(killDelay+killLeeway+200*time.Millisecond, func() { close(release) })
	if body, err := io.ReadAll(resp.Body); err != nil || string(body) != text(200_000) {
		t.Errorf("got %d bytes, %v", len(body), err)
	}
	if err := wait(t, "end of Run", p.done); err != nil {
		t.Error(err)
	}
}

// What a client takes to write a body tells nothing of the backends: the module hears of the time from its last byte.
func TestAnUploadsTimeIsNotTheBackends(t *testing.T) {
	p := withBackend(t, startReader(t, echo))
	c := connect(t, p)
	took := make(chan balancer.Microseconds, 1)
	c.send(t, post("1", "Content-Length: 100000")+text(70_000))
	var r *request
	waitUntil(t, func() bool {
		got := make(chan *request, 1)
		p.onLoop(func() { got <- p.loop.requests["1"] })
		r = wait(t, "word of the loop", got)
		return r != nil
	})
	if !r.Streaming {
		t.Error("it is not passed on as it comes")
	}
	time.Sleep(300 * time.Millisecond)
	go func() { _, _ = io.WriteString(c, text(100_000)[70_000:]) }()
	if resp, body := c.answer(t); resp.StatusCode != 200 || body != text(100_000) {
		t.Errorf("got %s with %d bytes", resp.Status, len(body))
	}
	p.onLoop(func() { took <- r.Deadline })
	if left := time.Until(p.loop.clock.Time(wait(t, "word of the loop", took))); left < 3700*time.Millisecond {
		t.Errorf("%v were left of 4 s", left)
	}
}

// A client that was refused while it still wrote had its connection reset, and with it the answer. It is answered at
// once, and what it writes is read to the end.
func TestARefusedClientMayFinishWriting(t *testing.T) {
	b := startRawBackend(t, func(w io.Writer, r *http.Request) bool {
		_, _ = io.WriteString(w, "HTTP/1.1 503 No\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n")
		return false
	})
	p := withBackend(t, b)
	const size = 2 << 20
	c := connect(t, p)
	c.send(t, post("1", fmt.Sprint("Content-Length: ", size))+text(100_000))
	var first [12]byte
	if _, err := io.ReadFull(c.r, first[:]); err != nil || string(first[:]) != "HTTP/1.1 503" {
		t.Fatalf("got %q, %v", first, err)
	}
	for left := size - 100_000; left > 0; left -= 100_000 {
		time.Sleep(50 * time.Millisecond)
		if _, err := io.WriteString(c, text(min(left, 100_000))); err != nil {
			t.Fatalf("with %d bytes left to write: %v", left, err)
		}
	}
	if _, err := io.ReadAll(c.r); err != nil {
		t.Errorf("the end of the connection: %v", err)
	}
	nothingLeft(t, p)
}
