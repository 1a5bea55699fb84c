// Package balancer decides, for one proxy of one tier, which server gets each call and which calls are
// refused. This file is its interface: settings, events and actions. It holds no decisions; those are
// in the other files.
//
// One Balancer serves one proxy. It is not safe for concurrent use: the owner calls one event method at
// a time, in the order in which the events happened, each with the time of the owner's clock. Times and
// durations are whole microseconds; the clock may begin anywhere and only advances. A Balancer keeps no
// goroutines, locks or global state, reads no clock and draws its random numbers from the seed alone, so
// the same events give the same actions.
package balancer

import "fmt"

// Idempotency tells whether a class of requests may run more than once.
type Idempotency int

// The repeat classes.
const (
	Idempotent        Idempotency = iota // may run any number of times
	IdempotentWithKey                    // carries a key; servers of one group drop repeats within Class.Window
	NotIdempotent                        // must never run twice
)

// DedupScope is the set of servers that drop a Keyed class's repeats between them.
type DedupScope int

// The groups of servers.
const (
	DedupTier DedupScope = iota // all servers of the tier
	DedupZone                   // those of one zone
	DedupCell                   // those of one cell
)

// Class describes one class of requests.
type Class struct {
	Name             string       // by which Reconfigure knows it again; its place if empty
	LatencyObjective Microseconds // an answer within this earns the full worth
	Deadline         Microseconds // a client waits this long at most, all its tries included
	PriorityWeight   float64      // worth of one request
	LateFraction     float64      // part of the worth earned between aim and deadline
	Idempotency      Idempotency
	DedupScope       DedupScope   // for Keyed
	DedupWindow      Microseconds // for Keyed: how long repeats are dropped, from the first send that may have run
	OrderedByKey     bool         // requests with one key run one at a time, in the order in which this proxy took them
}

// Tenant describes one origin of requests.
type Tenant struct {
	Name          string  // by which Reconfigure knows it again; its place if empty
	QuotaFraction float64 // its part of the service
	RateQuota     float64 // requests a second inside its share, over all proxies
}

// Settings are handed over at the start; Reconfigure replaces them.
type Settings struct {
	Tier              int // the tier that this proxy sends to; 0 is the front
	Replicas          int // proxies of this tier, this one included
	ReplicaIndex      int // this proxy's number among them, from 0
	Zone              int // this proxy's zone
	Zones             int
	Classes           []Class
	Tenants           []Tenant // may be empty
	SubscribeRequired bool     // the list of servers comes only after Host.Watch
	CapacityHints     bool     // Server.Size compares servers; otherwise it says nothing

	MaxAttempts        int          // sends for one request at most
	OrderedKeyCooldown Microseconds // OrderedByKey: a key rests this long after a time-out, reset or cancel
	RejectedMayRun     bool         // Rejected is no proof that an attempt never ran

	// In any RetryBudgetWindow, attempts beyond each request's first number at most RetryBudgetMin plus RetryBudgetRatio
	// times the requests taken in it. A RetryBudgetWindow of 0: no budget is stated, and the module keeps its own.
	RetryBudgetWindow Microseconds
	RetryBudgetMin    float64
	RetryBudgetRatio  float64

	MaxRetryAfter   Microseconds // the longest hint that a client heeds; 0: hints are not heeded
	DrainGrace      Microseconds // sends to a draining or gone server must have stopped by then
	MaxPollInterval Microseconds // with Subscribe: the longest time without a subscription or a call

	SlowStartCapacity float64      // part of its capacity that a server starts with, at least
	SlowStartOverload float64      // a cold server that gets more than so many times its capacity for a while falls over
	SlowStartDuration Microseconds // a server is warm after this at the latest

	PriorityPerWorkUnit bool // worth is counted for each unit of work, not for each request
}

// EndpointState is what the list says of a server.
type EndpointState int

// The states of a server.
const (
	Removed EndpointState = iota
	Ready
	Draining
)

// Endpoint is an entry of the list of servers.
type Endpoint struct {
	ID        string
	Zone      int
	Cell      int
	State     EndpointState
	Capacity  float64
	StartedAt Microseconds // when it last started; 0: long ago
}

// UpdateKind tells what a List event holds.
type UpdateKind int

// The kinds of list.
const (
	IncrementalUpdate UpdateKind = iota // changed entries only
	FullUpdate                          // the whole list
	CachedUpdate                        // the whole list as last known, maybe old
	FailedUpdate                        // a call or the subscription failed; the old list stands
)

// Request is a request that a client has handed to this proxy.
type Request struct {
	ID       string
	Class    int
	Tenant   int
	Key      string       // its subject, or empty
	Deadline Microseconds // when the client abandons it
	// Where its clients can open no more connections: how many they have, and how many of these carry no
	// request. Lines is 0 where they can.
	ClientConnections, IdleConnections int
	// Its body is still coming in and is passed on as it comes: no server can begin before Uploaded.
	Streaming bool
}

// Status is how an attempt ended.
type Status int

// The outcomes of an attempt. Full, ConnectFailed and Moot prove that it never ran.
const (
	OK Status = iota
	Error
	Rejected
	TimedOut
	ConnectFailed
	Reset
	Cancelled
	NotAttempted
)

// Outcome is the end of an attempt; each Send gets exactly one.
type Outcome struct {
	ID           string
	Attempt      int // 0 for the first Send of a request
	Status       Status
	Latency      Microseconds
	RequestDone  bool // the request is over; otherwise this proxy still owes the final answer
	BodyConsumed bool // a part of its body is gone, so that it cannot be sent again
}

// Host carries out what a Balancer decides. Its methods are called from inside event methods, are to
// return at once and must not call back into the Balancer.
type Host interface {
	// Send passes a request to a server and gives the attempt up after timeout; 0 is the client's time. Its last byte
	// has to reach the server before the time lapse, or nothing may be sent of it at all; 0 sets no such time.
	Send(id, server string, timeout, lapse Microseconds)
	// Reject ends a request unserved; the client may safely come again, after the given time.
	Reject(id string, after Microseconds)
	// Fail ends a request without any promise.
	Fail(id string)
	// SetTimer asks for a Timer event after delay.
	SetTimer(delay Microseconds, token string)
	// Subscribe opens the standing subscription to the list of servers.
	Subscribe()
	// Log shows a line to on-call staff.
	Log(line string)
}

func (s Settings) validate() error {
	for _, c := range []struct {
		bad   bool
		field string
	}{
		{len(s.Classes) == 0, "Classes: none given"},
		{s.Zones < 1, "Zones: fewer than one"},
		{s.Zone < 0 || s.Zone >= s.Zones, "Zone: out of range"},
		{s.Replicas < 1, "Replicas: fewer than one"},
		{s.ReplicaIndex < 0, "ReplicaIndex: negative"},
		{s.Tier < 0, "Tier: negative"},
		{s.MaxAttempts < 1, "MaxAttempts: fewer than one"},
		{s.MaxRetryAfter < 0, "MaxRetryAfter: negative"},
		{s.OrderedKeyCooldown < 0, "OrderedKeyCooldown: negative"},
		{s.RetryBudgetWindow < 0, "RetryBudgetWindow: negative"},
		{!(s.RetryBudgetMin >= 0), "RetryBudgetMin: negative"},
		{!(s.RetryBudgetRatio >= 0), "RetryBudgetRatio: negative"},
		{s.DrainGrace < 0, "DrainGrace: negative"},
		{s.MaxPollInterval < 0 || s.SubscribeRequired && s.MaxPollInterval == 0, "MaxPollInterval: not positive"},
		{!(s.SlowStartCapacity >= 0 && s.SlowStartCapacity <= 1), "SlowStartCapacity: not within 0 and 1"},
		{s.SlowStartDuration < 0, "SlowStartDuration: negative"},
		{!(s.SlowStartOverload >= 0), "SlowStartOverload: negative"},
	} {
		if c.bad {
			return fmt.Errorf("balancer: Settings.%s", c.field)
		}
	}
	for i, c := range s.Classes {
		switch {
		case c.LatencyObjective <= 0:
			return fmt.Errorf("balancer: Settings.Classes[%d].LatencyObjective: not positive", i)
		case c.Deadline <= 0:
			return fmt.Errorf("balancer: Settings.Classes[%d].Deadline: not positive", i)
		case !(c.PriorityWeight >= 0):
			return fmt.Errorf("balancer: Settings.Classes[%d].PriorityWeight: negative", i)
		case !(c.LateFraction >= 0):
			return fmt.Errorf("balancer: Settings.Classes[%d].LateFraction: negative", i)
		case c.Idempotency < Idempotent || c.Idempotency > NotIdempotent:
			return fmt.Errorf("balancer: Settings.Classes[%d].Idempotency: unknown", i)
		case c.DedupScope < DedupTier || c.DedupScope > DedupCell:
			return fmt.Errorf("balancer: Settings.Classes[%d].DedupScope: unknown", i)
		case c.DedupWindow < 0:
			return fmt.Errorf("balancer: Settings.Classes[%d].DedupWindow: negative", i)
		}
	}
	for i, t := range s.Tenants {
		if !(t.QuotaFraction >= 0) || !(t.RateQuota >= 0) {
			return fmt.Errorf("balancer: Settings.Tenants[%d]: negative Share or RateQuota", i)
		}
	}
	return nil
}
