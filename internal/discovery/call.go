package discovery

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"
)

// ListPath is the URL path of the endpoint list. Without a query the service responds with the complete list at once.
// With FromQuery and HoldQuery the call is a watch, which is a long poll for changes.
const (
	ListPath  = "/catalog/members"
	FromQuery = "from"    // the version that the caller has
	HoldQuery = "hold_ms" // how long the call may wait for changes, in milliseconds
)

// maxListBytes limits how much of a response is read. A longer list is truncated, so ParseList rejects it.
const maxListBytes = 4 << 20

// errUnavailable is returned if the service rejects a call because it is overloaded or down.
var errUnavailable = errors.New("discovery service is overloaded or down")

// fetchList requests the changes since version from, or the complete list if from is NoVersion.
func (c *Client) fetchList(ctx context.Context, from int64) (*List, error) {
	url, timeout := "http://"+c.options.Address+ListPath, c.snapshotTimeout
	if from >= 0 {
		wait := c.watchWait - time.Duration(c.options.Random.Int64N(int64(c.policy.watchWaitSpread)+1))
		url += "?" + FromQuery + "=" + strconv.FormatInt(from, 10) +
			"&" + HoldQuery + "=" + strconv.FormatInt(wait.Milliseconds(), 10)
		timeout = wait + c.policy.watchTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, fmt.Errorf("request the list: %w", err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, fmt.Errorf("request the list: %w", err)
	}
	defer resp.Body.Close()
	return readList(resp)
}

func readList(resp *http.Response) (*List, error) {
	if resp.StatusCode == http.StatusServiceUnavailable {
		return nil, errUnavailable
	}
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("request the list: status %s", resp.Status)
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxListBytes))
	if err != nil {
		return nil, fmt.Errorf("read the list: %w", err)
	}
	list, err := ParseList(data)
	if err != nil {
		return nil, fmt.Errorf("invalid list: %w", err)
	}
	return list, nil
}
