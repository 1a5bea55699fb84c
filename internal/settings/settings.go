// Package settings reads the settings object that the simulator's first message and a real proxy's
// configuration share. Keys that it does not know are ignored.
package settings

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"baylock/balancer"
)

const versionDigits = 12

// Site is what the settings object says: the module's part and the names and figures of the sockets.
type Site struct {
	Balancer balancer.Settings
	Classes  []string // names, in the order of Logic.Classes
	Tenants  []string // names, in the order of Logic.Tenants
	Zones    []string

	DialTimeout time.Duration // a connection that is not up by then has failed
	IdleClose   time.Duration // a backend closes a connection that has been idle this long
}

// object is the settings object as it stands on the wire.
type object struct {
	Contract struct {
		AskEvery      balancer.Microseconds `json:"ask_every_us"`
		BusyNoProof   bool                  `json:"busy_is_no_proof"`
		OrderSettle   balancer.Microseconds `json:"order_settle_us"`
		RatioSpan     balancer.Microseconds `json:"ratio_span_us"`
		ResendRatio   float64               `json:"resend_ratio"`
		Spare         float64               `json:"spare_attempts"`
		Cold          balancer.Microseconds `json:"cold_us"`
		DrainGrace    balancer.Microseconds `json:"drain_grace_us"`
		StartCapacity float64               `json:"start_capacity"`
		TipMultiple   float64               `json:"tip_multiple"`
	} `json:"contract"`
	CountedBy string   `json:"counted_by"`
	Zones     []string `json:"failure_domains"`
	Limits    struct {
		DialTimeout   balancer.Microseconds `json:"dial_timeout_us"`
		IdleClose     balancer.Microseconds `json:"idle_close_us"`
		MaxRetryAfter balancer.Microseconds `json:"max_retry_after_us"`
		RetryAfter    bool                  `json:"retry_after"`
		TryLimit      int                   `json:"try_limit"`
	} `json:"limits"`
	Membership string `json:"membership_mode"`
	Zone       int    `json:"my_zone"`
	Profiles   []struct {
		ByArrival bool                  `json:"by_arrival"`
		Scope     string                `json:"dedup_scope"`
		Window    balancer.Microseconds `json:"dedup_window_us"`
		GiveUp    balancer.Microseconds `json:"give_up_us"`
		LateShare float64               `json:"late_share"`
		Name      string                `json:"name"`
		Objective balancer.Microseconds `json:"objective_us"`
		Repeat    string                `json:"repeat"`
		Worth     float64               `json:"worth"`
	} `json:"profiles"`
	Siblings int `json:"siblings"`
	Ordinal  int `json:"ordinal"`
	Stage    int `json:"stage"`
	Tenants  []struct {
		Name    string  `json:"name"`
		Portion float64 `json:"portion"`
		Quota   float64 `json:"quota_per_s"`
	} `json:"tenants"`
	Weights string `json:"weights"`
}

// Decode reads a settings object. What the module needs is checked here; CheckSockets checks the rest.
func Decode(data []byte) (*Site, error) {
	var o object
	if err := json.Unmarshal(data, &o); err != nil {
		return nil, err
	}
	site := &Site{Zones: o.Zones,
		DialTimeout: o.Limits.DialTimeout.Duration(),
		IdleClose:   o.Limits.IdleClose.Duration(),
	}
	var err error
	if site.Balancer, err = o.logic(); err != nil {
		return nil, err
	}
	for _, p := range o.Profiles {
		site.Classes = append(site.Classes, p.Name)
	}
	for _, t := range o.Tenants {
		site.Tenants = append(site.Tenants, t.Name)
	}
	return site, nil
}

// Version names limits and settings by their content: the beginning of a hash of both as one JSON object, with its keys
// sorted and no white space. Limits may be empty.
func Version(limits, settings json.RawMessage) (string, error) {
	parts := map[string]any{}
	for key, data := range map[string]json.RawMessage{"limits": limits, "settings": settings} {
		if len(data) == 0 {
			continue
		}
		var value any
		d := json.NewDecoder(bytes.NewReader(data))
		d.UseNumber()
		if err := d.Decode(&value); err != nil {
			return "", err
		}
		parts[key] = value
	}
	var canonical bytes.Buffer
	e := json.NewEncoder(&canonical)
	e.SetEscapeHTML(false)
	if err := e.Encode(parts); err != nil {
		return "", err
	}
	sum := sha256.Sum256(bytes.TrimSuffix(canonical.Bytes(), []byte("\n")))
	return hex.EncodeToString(sum[:])[:versionDigits], nil
}

// CheckSockets tells what a proxy on real sockets lacks: names to know classes and tenants by, and the
// figures of its connections.
func (s *Site) CheckSockets() error {
	if s.DialTimeout <= 0 {
		return errors.New("limits.dial_timeout_us: not positive")
	}
	if s.IdleClose <= 0 {
		return errors.New("limits.idle_close_us: not positive")
	}
	if err := distinct("profiles", s.Classes); err != nil {
		return err
	}
	return distinct("tenants", s.Tenants)
}

func distinct(list string, names []string) error {
	seen := map[string]bool{}
	for i, n := range names {
		if n == "" || seen[n] {
			return fmt.Errorf("%s[%d].name: missing or given twice", list, i)
		}
		seen[n] = true
	}
	return nil
}

// logic turns the object into the module's settings.
func (o *object) logic() (balancer.Settings, error) {
	repeats := map[string]balancer.Idempotency{
		"idempotent": balancer.Idempotent, "deduplicated": balancer.IdempotentWithKey, "at_most_once": balancer.NotIdempotent,
	}
	groups := map[string]balancer.DedupScope{
		"": balancer.DedupTier, "all": balancer.DedupTier, "zone": balancer.DedupZone, "cell": balancer.DedupCell,
	}
	s := balancer.Settings{
		Tier: o.Stage, Replicas: o.Siblings, ReplicaIndex: o.Ordinal, Zone: o.Zone, Zones: len(o.Zones),
		SubscribeRequired: o.Membership == "subscribe", CapacityHints: o.Weights != "" && o.Weights != "off",
		MaxAttempts: o.Limits.TryLimit, RejectedMayRun: o.Contract.BusyNoProof,
		OrderedKeyCooldown: o.Contract.OrderSettle,
		RetryBudgetWindow:  o.Contract.RatioSpan, RetryBudgetMin: o.Contract.Spare, RetryBudgetRatio: o.Contract.ResendRatio,
		DrainGrace:      o.Contract.DrainGrace,
		MaxPollInterval: o.Contract.AskEvery, SlowStartCapacity: o.Contract.StartCapacity, SlowStartOverload: o.Contract.TipMultiple, SlowStartDuration: o.Contract.Cold,
		PriorityPerWorkUnit: o.CountedBy == "work",
	}
	if o.Membership != "automatic" && o.Membership != "subscribe" {
		return s, fmt.Errorf("membership_mode: unknown word %q", o.Membership)
	}
	if o.Limits.RetryAfter {
		s.MaxRetryAfter = o.Limits.MaxRetryAfter
	}
	for i, p := range o.Profiles {
		repeat, ok := repeats[p.Repeat]
		if !ok {
			return s, fmt.Errorf("profiles[%d].repeat: unknown word %q", i, p.Repeat)
		}
		group, ok := groups[p.Scope]
		if !ok {
			return s, fmt.Errorf("profiles[%d].dedup_scope: unknown word %q", i, p.Scope)
		}
		if repeat == balancer.IdempotentWithKey && p.Scope == "" { // who drops its repeats is not told: its own cell at least
			group = balancer.DedupCell
		}
		s.Classes = append(s.Classes, balancer.Class{Name: p.Name, LatencyObjective: p.Objective, Deadline: p.GiveUp, PriorityWeight: p.Worth,
			LateFraction: p.LateShare, Idempotency: repeat, DedupScope: group, DedupWindow: p.Window,
			OrderedByKey: p.ByArrival})
	}
	for _, t := range o.Tenants {
		s.Tenants = append(s.Tenants, balancer.Tenant{Name: t.Name, QuotaFraction: t.Portion, RateQuota: t.Quota})
	}
	return s, nil
}
