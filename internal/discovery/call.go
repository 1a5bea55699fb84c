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

// MembersPath is where discovery serves the list. Without a query it answers with the whole list at once; with
// FromQuery and HoldQuery it is a watch.
const (
	MembersPath = "/catalog/members"
	FromQuery   = "from"    // the version that the caller has
	HoldQuery   = "hold_ms" // how long the call may wait for something newer, in milliseconds
)

const maxList = 4 << 20 // bytes of an answer

var errBusy = errors.New("discovery is busy or down")

// call asks for what is newer than a version, or for the whole list if that is NoVersion.
func (c *Client) call(ctx context.Context, from int64) (*List, error) {
	url, patience := "http://"+c.Address+MembersPath, c.whole
	if from >= 0 {
		hold := c.hold - time.Duration(c.Random.Int64N(int64(c.spread)+1))
		url += "?" + FromQuery + "=" + strconv.FormatInt(from, 10) +
			"&" + HoldQuery + "=" + strconv.FormatInt(hold.Milliseconds(), 10)
		patience = hold + c.patience
	}
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, fmt.Errorf("ask for the list: %w", err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, fmt.Errorf("ask for the list: %w", err)
	}
	defer resp.Body.Close()
	return readList(resp)
}

func readList(resp *http.Response) (*List, error) {
	if resp.StatusCode == http.StatusServiceUnavailable {
		return nil, errBusy
	}
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("ask for the list: status %s", resp.Status)
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxList))
	if err != nil {
		return nil, fmt.Errorf("read the list: %w", err)
	}
	list, err := ParseList(data)
	if err != nil {
		return nil, fmt.Errorf("garbled list: %w", err)
	}
	return list, nil
}
