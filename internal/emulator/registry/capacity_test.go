package registry

import (
	"net/http"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"baylock/internal/discovery"
)

// requestResult is the result of one of several concurrent requests.
type requestResult struct {
	request int // index in the order of the requests
	status  int
	took    time.Duration
}

// concurrentRequests starts requests in a fixed order at the same time of the bubble's clock, and returns their results
// in the order of the responses.
func concurrentRequests(t *testing.T, s *Service, number int, query string) []requestResult {
	t.Helper()
	c := newTestClient(s.Dialer(testList, eastClient))
	began, results := time.Now(), make(chan requestResult, number)
	for i := range number {
		go func() {
			status, _, err := c.get(t.Context(), discovery.ListPath+query)
			if err != nil {
				t.Error(err)
			}
			results <- requestResult{i, status, time.Since(began)}
		}()
		synctest.Wait()
	}
	var out []requestResult
	for range number {
		out = append(out, <-results)
	}
	return out
}

// Queued requests are served in order at the replica's capacity. Requests that would be queued for too long are rejected.
func TestRequestsBeyondCapacityAreQueuedOrRejected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		config := oneReplicaConfig(true)
		config.Replicas[0].RequestRate, config.QueueLimit = 10, time.Second
		s := startService(t, config)
		results := concurrentRequests(t, s, 20, "")
		for i, r := range results[:9] { // the rejected ones
			if r.status != http.StatusServiceUnavailable || r.took != 0 || r.request != 11+i {
				t.Errorf("response %d: %+v", i, r)
			}
		}
		for i, r := range results[9:] {
			if want := time.Duration(i+1) * 100 * time.Millisecond; r.status != http.StatusOK || r.took != want || r.request != i {
				t.Errorf("response %d: %+v, want after %v", 9+i, r, want)
			}
		}
		u := s.Usage()[0]
		if u.Name != "r1" || u.Requests != 20 || u.Rejected != 9 || u.Snapshots != 11 || u.PeakRequests != 20 {
			t.Errorf("usage is %+v", u)
		}
	})
}

func TestWaitingWatchUsesNoCapacity(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		config := oneReplicaConfig(true)
		config.Replicas[0].RequestRate = 10
		s := startService(t, config)
		version := newTestClient(s.Dialer(testList, eastClient)).mustGet(t, "").Index
		results := concurrentRequests(t, s, 10, watchQuery(version, 5*time.Second))
		for i, r := range results {
			want := 5*time.Second + time.Duration(i+1)*100*time.Millisecond
			if r.status != http.StatusOK || r.took != want {
				t.Errorf("response %d: %+v, want after %v", i, r, want)
			}
		}
	})
}

func TestAgentRespondsWithoutCapacityLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		config := oneReplicaConfig(false)
		config.Replicas[0].RequestRate = 1
		s := startService(t, config)
		for _, r := range concurrentRequests(t, s, 20, "") {
			if r.status != http.StatusOK || r.took != 0 {
				t.Errorf("%+v", r)
			}
		}
	})
}

func TestRejectAndDelayRequests(t *testing.T) {
	runInBothModes(t, func(t *testing.T, poll bool) {
		s := startService(t, oneReplicaConfig(poll))
		s.RejectRequests(0.25)
		rejected := 0
		for _, r := range concurrentRequests(t, s, 400, "") {
			if r.status == http.StatusServiceUnavailable {
				rejected++
			}
		}
		if rejected < 75 || rejected > 125 {
			t.Errorf("%d of 400 requests rejected, want 75 to 125", rejected)
		}
		if n := s.Usage()[0].Rejected; n != int64(rejected) {
			t.Errorf("usage has %d rejected, want %d", n, rejected)
		}
		s.RejectRequests(0)
		s.DelayRequests(300 * time.Millisecond)
		for _, r := range concurrentRequests(t, s, 20, "") {
			if r.status != http.StatusOK || r.took != 300*time.Millisecond {
				t.Errorf("delayed: %+v", r)
			}
		}
	})
}

func TestUsageCountsSincePreviousCall(t *testing.T) {
	runInBothModes(t, func(t *testing.T, poll bool) {
		s := startService(t, testConfig(poll))
		c := newTestClient(s.Dialer(testList, eastClient))
		for _, requests := range []int{2, 5, 1} {
			advance(time.Until(time.Unix(time.Now().Unix()+1, 0)))
			for range requests {
				c.mustGet(t, "")
			}
		}
		synctest.Wait() // the last response is counted once its write has returned
		all := s.Usage()
		u := all[0]
		if u.Requests != 8 || u.PeakRequests != 5 || u.Snapshots != 8 || u.Rejected != 0 {
			t.Errorf("usage is %+v", u)
		}
		perRequest := (u.BytesIn + u.BytesOut) / 8
		if u.BytesIn < 8*100 || u.BytesOut < 8*100 || u.PeakBytes != 5*perRequest {
			t.Errorf("wrong byte counts in usage %+v", u)
		}
		again := slices.Concat(s.Usage(), all[1:])
		for _, u := range again {
			u.Name = ""
			if u != (ReplicaUsage{}) {
				t.Errorf("usage without requests is %+v", u)
			}
		}
	})
}
