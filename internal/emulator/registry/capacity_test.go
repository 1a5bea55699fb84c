package registry

import (
	"net/http"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"baylock/internal/discovery"
)

// result is how one of several calls made at once went.
type result struct {
	call   int
	status int
	took   time.Duration
}

// callsAtOnce makes calls in turn at one moment and gives their results in the order of the answers.
func callsAtOnce(t *testing.T, s *Service, number int, query string) []result {
	t.Helper()
	c := newCaller(s.Dialer(list, inEast))
	began, results := time.Now(), make(chan result, number)
	for i := range number {
		go func() {
			status, _, err := c.get(t.Context(), discovery.MembersPath+query)
			if err != nil {
				t.Error(err)
			}
			results <- result{i, status, time.Since(began)}
		}()
		synctest.Wait()
	}
	var out []result
	for range number {
		out = append(out, <-results)
	}
	return out
}

// Calls are answered in their order at the stated capacity, and those refused that would wait too long.
func TestCapacity(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		config := oneReplica(true)
		config.Replicas[0].CallsPerSecond, config.QueueLimit = 10, time.Second
		s := start(t, config)
		results := callsAtOnce(t, s, 20, "")
		for i, r := range results[:9] { // the refused ones
			if r.status != http.StatusServiceUnavailable || r.took != 0 || r.call != 11+i {
				t.Errorf("answer %d: %+v", i, r)
			}
		}
		for i, r := range results[9:] {
			if want := time.Duration(i+1) * 100 * time.Millisecond; r.status != http.StatusOK || r.took != want || r.call != i {
				t.Errorf("answer %d: %+v, want after %v", 9+i, r, want)
			}
		}
		u := s.Usage()[0]
		if u.Name != "r1" || u.Calls != 20 || u.Refused != 9 || u.WholeLists != 11 || u.BusiestCalls != 20 {
			t.Errorf("usage is %+v", u)
		}
	})
}

// A watch is one call: its wait keeps none back.
func TestWatchesDoNotHoldTheQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		config := oneReplica(true)
		config.Replicas[0].CallsPerSecond = 10
		s := start(t, config)
		version := newCaller(s.Dialer(list, inEast)).ask(t, "").Index
		results := callsAtOnce(t, s, 10, fromVersion(version, 5*time.Second))
		for i, r := range results {
			want := 5*time.Second + time.Duration(i+1)*100*time.Millisecond
			if r.status != http.StatusOK || r.took != want {
				t.Errorf("answer %d: %+v, want after %v", i, r, want)
			}
		}
	})
}

// Where the list is pushed, agents answer at once whatever the capacity.
func TestAgentsHaveNoCapacity(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		config := oneReplica(false)
		config.Replicas[0].CallsPerSecond = 1
		s := start(t, config)
		for _, r := range callsAtOnce(t, s, 20, "") {
			if r.status != http.StatusOK || r.took != 0 {
				t.Errorf("%+v", r)
			}
		}
	})
}

func TestRefuseAndDelayCalls(t *testing.T) {
	inBothModes(t, func(t *testing.T, ask bool) {
		s := start(t, oneReplica(ask))
		s.RefuseCalls(0.25)
		refused := 0
		for _, r := range callsAtOnce(t, s, 400, "") {
			if r.status == http.StatusServiceUnavailable {
				refused++
			}
		}
		if refused < 75 || refused > 125 {
			t.Errorf("%d of 400 calls refused", refused)
		}
		if n := s.Usage()[0].Refused; n != int64(refused) {
			t.Errorf("usage has %d refused, not %d", n, refused)
		}
		s.RefuseCalls(0)
		s.DelayCalls(300 * time.Millisecond)
		for _, r := range callsAtOnce(t, s, 20, "") {
			if r.status != http.StatusOK || r.took != 300*time.Millisecond {
				t.Errorf("delayed: %+v", r)
			}
		}
	})
}

// Usage is of the time since it was last asked for.
func TestUsage(t *testing.T) {
	inBothModes(t, func(t *testing.T, ask bool) {
		s := start(t, testConfig(ask))
		c := newCaller(s.Dialer(list, inEast))
		for _, calls := range []int{2, 5, 1} {
			after(time.Until(time.Unix(time.Now().Unix()+1, 0)))
			for range calls {
				c.ask(t, "")
			}
		}
		synctest.Wait() // the last answer is counted once its write has returned
		all := s.Usage()
		u := all[0]
		if u.Calls != 8 || u.BusiestCalls != 5 || u.WholeLists != 8 || u.Refused != 0 {
			t.Errorf("usage is %+v", u)
		}
		perCall := (u.BytesIn + u.BytesOut) / 8
		if u.BytesIn < 8*100 || u.BytesOut < 8*100 || u.BusiestBytes != 5*perCall {
			t.Errorf("bytes of usage are %+v", u)
		}
		again := slices.Concat(s.Usage(), all[1:])
		for _, u := range again {
			u.Name = ""
			if u != (ReplicaUsage{}) {
				t.Errorf("usage without calls is %+v", u)
			}
		}
	})
}
