package settings

import (
	"errors"
	"reflect"
	"strings"
	"testing"
	"time"

	"baylock/balancer"
)

const testObject = `{"contract":{"ask_every_us":10000000,"cold_us":24000000,"drain_grace_us":500000,"start_capacity":0.13},` +
	`"failure_domains":["a","b"],"unheard_of":{"x":[1]},"limits":{"dial_timeout_us":200000,"idle_close_us":30000000,` +
	`"max_retry_after_us":750000,"retry_after":true,"try_limit":5},"membership_mode":"automatic","my_zone":1,"ordinal":0,` +
	`"profiles":[{"dedup_scope":"cell","dedup_window_us":2000000,"give_up_us":1200000,"late_share":0.0,"name":"put",` +
	`"objective_us":500000,"repeat":"deduplicated","worth":1.0}],"siblings":3,"stage":0,` +
	`"tenants":[{"name":"acme","portion":1,"quota_per_s":4}],"tiers":["t"],"weights":"rough"}`

// decode decodes testObject after replacements, which are pairs of an old text and a new one, as for
// strings.NewReplacer.
func decode(t *testing.T, replacements ...string) *Site {
	t.Helper()
	site, err := Decode([]byte(strings.NewReplacer(replacements...).Replace(testObject)))
	if err != nil {
		t.Fatal(err)
	}
	return site
}

func TestDecodeMapsEveryField(t *testing.T) {
	site := decode(t,
		`"contract":{`, `"contract":{"busy_is_no_proof":true,"order_settle_us":7,"ratio_span_us":5000000,`+
			`"resend_ratio":0.05,"spare_attempts":3,"tip_multiple":2.5,`,
		`"dedup_scope":"cell"`, `"by_arrival":true,"dedup_scope":"cell"`,
		`"late_share":0.0`, `"stream":true,"late_share":0.25`,
		`"ordinal":0`, `"ordinal":2,"counted_by":"work"`,
		`"stage":0`, `"stage":1`)
	want := &Site{
		Balancer: balancer.Settings{
			Tier: 1, Replicas: 3, ReplicaIndex: 2, Zone: 1, Zones: 2,
			Classes: []balancer.Class{{Name: "put", LatencyObjective: 500_000, Deadline: 1_200_000, PriorityWeight: 1,
				LateFraction: 0.25, Idempotency: balancer.IdempotentWithKey, DedupScope: balancer.DedupCell,
				DedupWindow: 2_000_000, OrderedByKey: true, StreamedResponse: true}},
			Tenants:       []balancer.Tenant{{Name: "acme", QuotaFraction: 1, RateQuota: 4}},
			CapacityHints: true, MaxAttempts: 5, OrderedKeyCooldown: 7, RejectedMayRun: true,
			RetryBudgetWindow: 5_000_000, RetryBudgetMin: 3, RetryBudgetRatio: 0.05,
			MaxRetryAfter: 750_000, DrainGrace: 500_000, MaxPollInterval: 10_000_000,
			SlowStartCapacity: 0.13, SlowStartOverload: 2.5, SlowStartDuration: 24_000_000,
			PriorityPerWorkUnit: true,
		},
		Classes: []string{"put"}, Tenants: []string{"acme"}, Zones: []string{"a", "b"},
		DialTimeout: 200 * time.Millisecond, IdleClose: 30 * time.Second,
	}
	if !reflect.DeepEqual(site, want) {
		t.Errorf("got  %+v\nwant %+v", site, want)
	}
	if err := site.ValidateForProxy(); err != nil {
		t.Error(err)
	}
}

func TestDecodeMapsEnumValues(t *testing.T) {
	subscribeRequired := func(s balancer.Settings) any { return s.SubscribeRequired }
	capacityHints := func(s balancer.Settings) any { return s.CapacityHints }
	perWorkUnit := func(s balancer.Settings) any { return s.PriorityPerWorkUnit }
	maxRetryAfter := func(s balancer.Settings) any { return s.MaxRetryAfter }
	idempotency := func(s balancer.Settings) any { return s.Classes[0].Idempotency }
	dedupScope := func(s balancer.Settings) any { return s.Classes[0].DedupScope }
	for _, test := range []struct {
		name     string
		old, new string
		field    func(balancer.Settings) any
		want     any
	}{
		{"membership automatic", `"automatic"`, `"automatic"`, subscribeRequired, false},
		{"membership subscribe", `"automatic"`, `"subscribe"`, subscribeRequired, true},
		{"weights rough", `"rough"`, `"rough"`, capacityHints, true},
		{"weights off", `"rough"`, `"off"`, capacityHints, false},
		{"weights unset", `"rough"`, `""`, capacityHints, false},
		{"counted by request", `"ordinal"`, `"counted_by":"request","ordinal"`, perWorkUnit, false},
		{"counted by work", `"ordinal"`, `"counted_by":"work","ordinal"`, perWorkUnit, true},
		{"retry after on", `"retry_after":true`, `"retry_after":true`, maxRetryAfter, balancer.Microseconds(750_000)},
		{"retry after off", `"retry_after":true`, `"retry_after":false`, maxRetryAfter, balancer.Microseconds(0)},
		{"repeat idempotent", `"deduplicated"`, `"idempotent"`, idempotency, balancer.Idempotent},
		{"repeat deduplicated", `"deduplicated"`, `"deduplicated"`, idempotency, balancer.IdempotentWithKey},
		{"repeat at most once", `"deduplicated"`, `"at_most_once"`, idempotency, balancer.NotIdempotent},
		{"scope all", `"cell"`, `"all"`, dedupScope, balancer.DedupTier},
		{"scope zone", `"cell"`, `"zone"`, dedupScope, balancer.DedupZone},
		{"scope cell", `"cell"`, `"cell"`, dedupScope, balancer.DedupCell},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := test.field(decode(t, test.old, test.new).Balancer); got != test.want {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
}

func TestDecodeRejectsInvalidSettings(t *testing.T) {
	const syntaxError = "invalid character"
	for _, test := range []struct {
		name     string
		old, new string
		path     string // the beginning of the error; empty for an error of JSON syntax
		cause    error
		text     string // the end of the error
	}{
		{"unknown membership", `"automatic"`, `"now and then"`, "membership_mode", ErrUnknownValue, `"now and then"`},
		{"unknown repeat", `"deduplicated"`, `"sometimes"`, "profiles[0].repeat", ErrUnknownValue, `"sometimes"`},
		{"unknown scope", `"cell"`, `"street"`, "profiles[0].dedup_scope", ErrUnknownValue, `"street"`},
		{"class without name", `"put"`, `""`, "profiles[0].name", ErrMissingName, `""`},
		{"tenant without name", `"acme"`, `""`, "tenants[0].name", ErrMissingName, `""`},
		{"duplicate tenant name", `"tenants":[`, `"tenants":[{"name":"acme"},`, "tenants[1].name", ErrDuplicateName, `"acme"`},
		{"no dial timeout", `"dial_timeout_us":200000`, `"dial_timeout_us":0`, "limits.dial_timeout_us", ErrNotPositive, "0s"},
		{"no idle close", `"idle_close_us":30000000,`, ``, "limits.idle_close_us", ErrNotPositive, "0s"},
		{"string for a number", `"try_limit":5`, `"try_limit":"five"`, "limits.try_limit", ErrUnexpectedType, `"string"`},
		{"syntax error", `{"contract"`, `{{"contract"`, "", nil, syntaxError},
	} {
		t.Run(test.name, func(t *testing.T) {
			site, err := Decode([]byte(strings.Replace(testObject, test.old, test.new, 1)))
			if err == nil {
				err = site.ValidateForProxy()
			}
			if test.cause == nil {
				if err == nil || !strings.Contains(err.Error(), test.text) {
					t.Errorf("got error %v, want %q in it", err, test.text)
				}
				return
			}
			var valueError *ValueError
			if !errors.As(err, &valueError) || valueError.Path != test.path || !errors.Is(err, test.cause) {
				t.Fatalf("got error %v, want %s: %v", err, test.path, test.cause)
			}
			if want := test.path + ": " + test.cause.Error() + " " + test.text; err.Error() != want {
				t.Errorf("got error %q, want %q", err, want)
			}
		})
	}
}

func TestDecodeDedupScopeUnsetGivesNarrowestScope(t *testing.T) {
	site := decode(t, `"dedup_scope":"cell","dedup_window_us":2000000,`, "")
	class := site.Balancer.Classes[0]
	if class.Idempotency != balancer.IdempotentWithKey || class.DedupScope != balancer.DedupCell || class.DedupWindow != 0 {
		t.Errorf("got %+v", class)
	}
}

// The expected version is what the command in docs/oncall.md prints.
func TestVersionDependsOnContentAlone(t *testing.T) {
	const want = "d51388b5c44b"
	limits := `{"sockets": 512,"memory_mb":192,  "cores":1.0}`
	for _, test := range []struct {
		name             string
		limits, settings string
		same             bool
	}{
		{"as given", limits, testObject, true},
		{"other order and white space", `{"cores":1.0,"memory_mb":192,"sockets":512}`, " " + testObject + "\n", true},
		{"other limit", `{"cores":1.0,"memory_mb":192,"sockets":513}`, testObject, false},
		{"no limits", "", testObject, false},
		{"other setting", limits, strings.Replace(testObject, "500000", "500001", 1), false},
		{"other unknown setting", limits, strings.Replace(testObject, `"unheard_of":{"x":[1]}`, `"unheard_of":{"x":[2]}`, 1), false},
	} {
		t.Run(test.name, func(t *testing.T) {
			got, err := Version([]byte(test.limits), []byte(test.settings))
			if err != nil || len(got) != versionDigits || (got == want) != test.same {
				t.Errorf("got %s, %v; want %s: %v", got, err, want, test.same)
			}
		})
	}
	if _, err := Version(nil, []byte("{")); err == nil {
		t.Error("got no error for an incomplete object")
	}
}
