package upstream

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"
)

// errConnectionLimit reports that the maximum number of connections is in use.
var errConnectionLimit = errors.New("connection limit reached")

func (p *Pool) dialWithTimeout(ctx context.Context, network, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: time.Duration(p.dialTimeout.Load()), KeepAlive: -1} // no TCP keep-alive
	return d.DialContext(ctx, network, address)
}

// dial opens a connection to the target. It fails with errConnectionLimit if all connections of the pool are in use.
func (t Target) dial(ctx context.Context) (*conn, error) {
	if !t.pool.reserve() {
		return nil, fmt.Errorf("dial %s: %w", t.endpoint.name, errConnectionLimit)
	}
	nc, err := t.pool.DialContext(ctx, "tcp", t.address)
	if err != nil {
		t.pool.unreserve()
		return nil, fmt.Errorf("dial %s: %w", t.endpoint.name, err)
	}
	return newConn(nc, t), nil
}
