package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"
)

const testSettings = `{"contract":{"ask_every_us":10000000,"cold_us":24000000,"drain_grace_us":500000,` +
	`"start_capacity":0.13},"deductions":{"cross_zone":0.015},"failure_domains":["a","b"],"unheard_of":{"x":[1]},` +
	`"limits":{"max_retry_after_us":750000,"retry_after":true,"try_limit":5},"membership_mode":"automatic","my_zone":1,` +
	`"ordinal":0,"profiles":[{"dedup_scope":"cell","dedup_window_us":2000000,"give_up_us":1200000,"late_share":0.0,` +
	`"objective_us":500000,"repeat":"deduplicated","worth":1.0}],"siblings":3,"stage":0,"tenants":[],"tiers":["t"],` +
	`"weights":"rough"}`

func instanceLine(instance string) string {
	return fmt.Sprintf(`{"new_instance":{"who":%q,"salt":7,"options":%s}}`, instance, testSettings)
}

func endpointListLine(number int, endpoints ...string) string {
	var entries []string
	for _, endpoint := range endpoints {
		entries = append(entries, fmt.Sprintf(`{"backend":%q,"dc":1,"flavor":0,"pack":0,"state":1,"power_hint":1.5,"launched_us":null}`, endpoint))
	}
	return fmt.Sprintf(`{"ledger":{"roster_id":%d,"elements":[%s]}}`, number, strings.Join(entries, ","))
}

func batch(now int, lines ...string) string {
	return fmt.Sprintf("{\"mark\":{\"time_us\":%d}}\n%s\n{\"your_turn\":{}}\n", now, strings.Join(lines, "\n"))
}

func requestLine(instance, requestID string) string {
	return fmt.Sprintf(`{"job_in":{"who":%q,"ticket":%q,"band":0,"owner":0,"affinity":null,`+
		`"give_up_at_us":9000000,"weight_hint_us":null,"opts":0}}`, instance, requestID)
}

// run serves the input and returns the lines of output.
func run(t *testing.T, input string) ([]string, error) {
	t.Helper()
	var out bytes.Buffer
	err := serve(strings.NewReader(input), &out)
	return strings.Split(strings.TrimSuffix(out.String(), "\n"), "\n"), err
}

func mustRun(t *testing.T, input string) []string {
	t.Helper()
	lines, err := run(t, input)
	if err != nil {
		t.Fatal(err)
	}
	return lines
}

func TestServeEmptyBatchesGivesEmptyReplies(t *testing.T) {
	got := mustRun(t, batch(5)+batch(6))
	if want := []string{`{"done":{}}`, `{"done":{}}`}; !slices.Equal(got, want) {
		t.Errorf("got %q", got)
	}
	if lines := mustRun(t, ""); len(lines) != 1 || lines[0] != "" {
		t.Errorf("got %q for no input", lines)
	}
}

func TestServeRequestFromArrivalToFailure(t *testing.T) {
	got := mustRun(t, batch(1, instanceLine("proxy_1"), endpointListLine(0, "backend-x"),
		`{"membership":{"who":"proxy_1","how":2,"seq_no":1,"roster_id":0}}`)+
		batch(2_000_000, requestLine("proxy_1", "00ff"))+
		batch(2_500_000, `{"completed":{"who":"proxy_1","ticket":"00ff","go":0,"backend":"backend-x","verdict":504,`+
			`"took_us":500000,"terminal":false,"server_stats":null}}`))
	want := []string{`{"done":{}}`,
		`{"place":{"who":"proxy_1","ticket":"00ff","timeout_us":500000,"backend":"backend-x"}}`, `{"done":{}}`,
		`{"report_failure":{"who":"proxy_1","ticket":"00ff"}}`, `{"done":{}}`}
	if !slices.Equal(got, want) {
		t.Errorf("got\n%s\nwant\n%s", strings.Join(got, "\n"), strings.Join(want, "\n"))
	}
}

func TestServeEndpointListNumberReusedInBatchUsesLatestList(t *testing.T) {
	got := mustRun(t, batch(1, instanceLine("proxy_1"), instanceLine("proxy_2"),
		endpointListLine(3, "backend-one"), `{"membership":{"who":"proxy_1","how":1,"seq_no":1,"roster_id":3}}`,
		endpointListLine(3, "backend-two"), `{"membership":{"who":"proxy_2","how":1,"seq_no":1,"roster_id":3}}`,
		requestLine("proxy_1", "aa"), requestLine("proxy_2", "bb")))
	all := strings.Join(got, "\n")
	if !strings.Contains(all, `"ticket":"aa","timeout_us":500000,"backend":"backend-one"`) ||
		!strings.Contains(all, `"ticket":"bb","timeout_us":500000,"backend":"backend-two"`) {
		t.Errorf("got\n%s", all)
	}
}

func TestServeInstanceRestartedInBatchForgetsEndpoints(t *testing.T) {
	got := mustRun(t, batch(1, instanceLine("proxy_1"), endpointListLine(0, "backend-x"),
		`{"membership":{"who":"proxy_1","how":2,"seq_no":1,"roster_id":0}}`,
		`{"power_off":{"who":"proxy_1"}}`, instanceLine("proxy_1"), requestLine("proxy_1", "aa"),
		`{"withdrawn":{"who":"proxy_1","ticket":"never"}}`,
		`{"tick_due":{"who":"proxy_1","nonce":"odd"}}`,
		`{"probe_done":{"who":"proxy_1","backend":"backend-x","verdict":200,"took_us":1,"server_stats":null}}`,
		`{"message":{"who":"proxy_1","src_peer":2,"payload":"aGk="}}`,
		`{"established":{"who":"proxy_1","ticket":"never","go":0,"backend":"backend-x","took_us":5}}`))
	if len(got) != 2 || !strings.Contains(got[0], `"overload_reply":{"who":"proxy_1","ticket":"aa"`) {
		t.Errorf("got %q", got)
	}
}

func TestServeLineOverBufferSizeIsRead(t *testing.T) {
	var names []string
	for i := range 20_000 {
		names = append(names, fmt.Sprintf("backend-%d", i))
	}
	if line := endpointListLine(0, names...); len(line) < bufferBytes {
		t.Fatalf("the line has only %d bytes", len(line))
	}
	got := mustRun(t, batch(1, instanceLine("proxy_1"), endpointListLine(0, names...),
		`{"membership":{"who":"proxy_1","how":1,"seq_no":1,"roster_id":0}}`, requestLine("proxy_1", "aa")))
	if len(got) != 2 || !strings.Contains(got[0], `"place"`) {
		t.Errorf("got %q", got)
	}
}

func TestServeInvalidInputReturnsDescriptiveError(t *testing.T) {
	for _, test := range []struct{ name, line, want string }{
		{"no JSON", `nonsense`, "line 2: invalid event"},
		{"wrong type", `{"job_in":{"who":5}}`, "line 2: invalid event"},
		{"unknown event", `{"greeting":{}}`, "line 2: unknown event"},
		{"no event", `{}`, "line 2: unknown event"},
		{"null", `null`, "line 2: unknown event"},
		{"unknown instance", requestLine("proxy_9", "aa"), `line 2: job_in: unknown instance "proxy_9"`},
		{"no instance", `{"job_in":{"ticket":"aa"}}`, "line 2: job_in: who is missing"},
		{"update of unknown instance", `{"membership":{"who":"proxy_1","how":1,"roster_id":4}}`,
			`line 2: membership: unknown instance`},
		{"unknown list number", instanceLine("proxy_1") + "\n" + `{"membership":{"who":"proxy_1","how":1,"roster_id":4}}`,
			"line 3: membership: unknown roster_id 4"},
		{"no list number", instanceLine("proxy_1") + "\n" + `{"membership":{"who":"proxy_1","how":1}}`,
			"line 3: membership: roster_id is missing"},
		{"unknown update kind", instanceLine("proxy_1") + "\n" + `{"membership":{"who":"proxy_1","how":7,"roster_id":4}}`,
			"line 3: membership: unknown how 7"},
		{"no class", instanceLine("proxy_1") + "\n" + `{"job_in":{"who":"proxy_1","ticket":"aa","give_up_at_us":5}}`,
			"line 3: job_in: ticket, band or give_up_at_us is missing"},
		{"unknown outcome code", instanceLine("proxy_1") + "\n" + `{"completed":{"who":"proxy_1","ticket":"a","go":0,"verdict":299}}`,
			"line 3: completed: unknown verdict 299"},
		{"list number out of range", `{"ledger":{"roster_id":16,"elements":[]}}`, "line 2: ledger: unknown roster_id 16"},
		{"endpoint without state", `{"ledger":{"roster_id":1,"elements":[{"backend":"b","dc":0}]}}`,
			"line 2: ledger: elements[0]: backend, dc or state is missing"},
		{"unknown endpoint state", `{"ledger":{"roster_id":1,"elements":[{"backend":"b","dc":0,"state":3}]}}`,
			"line 2: ledger: elements[0]: unknown state 3"},
		{"unknown value in settings", strings.Replace(instanceLine("p"), "deduplicated", "sometimes", 1),
			`line 2: new_instance: options.profiles[0].repeat: unknown value "sometimes"`},
		{"zone out of range", strings.Replace(instanceLine("p"), `"my_zone":1`, `"my_zone":2`, 1),
			"line 2: new_instance: balancer: Settings.Zone"},
		{"no seed", strings.Replace(instanceLine("p"), `"salt":7,`, "", 1),
			"line 2: new_instance: who, salt or options is missing"},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, err := run(t, batch(1, test.line))
			if err == nil || !strings.HasPrefix(err.Error(), test.want) {
				t.Errorf("%.60s: got error %v, want %q", test.line, err, test.want)
			}
		})
	}
}

func TestServeIncompleteBatchGivesError(t *testing.T) {
	if _, err := run(t, instanceLine("p")); !errors.Is(err, errOutsideBatch) {
		t.Errorf("got error %v for an event before the batch", err)
	}
	if _, err := run(t, `{"mark":{"time_us":1}}`); !errors.Is(err, errIncompleteBatch) {
		t.Errorf("got error %v for a batch without end", err)
	}
}

func TestActionWriterWritesWireNames(t *testing.T) {
	var out bytes.Buffer
	encoder := json.NewEncoder(&out)
	encoder.SetEscapeHTML(false)
	w := &actionWriter{instance: "proxy_1", encoder: encoder}
	w.Send("aa", "backend-x", 7, 9)
	w.Reject("aa", 250000)
	w.Fail("aa")
	w.SetTimer(500000, "sweep")
	w.Subscribe()
	w.Log(`share <1 "low"`)
	want := `{"place":{"who":"proxy_1","ticket":"aa","timeout_us":7,"backend":"backend-x"}}
{"overload_reply":{"who":"proxy_1","ticket":"aa","stay_away_us":250000}}
{"report_failure":{"who":"proxy_1","ticket":"aa"}}
{"schedule":{"who":"proxy_1","sleep_for_us":500000,"nonce":"sweep"}}
{"subscribe":{"who":"proxy_1","enable":true}}
{"emit":{"who":"proxy_1","line":"share <1 \"low\""}}
`
	if out.String() != want {
		t.Errorf("got\n%s", out.String())
	}
}

// Requests of an ordered class that have the same key are sent one after the other.
func TestServeOrderedKeySendsOneRequestAtATime(t *testing.T) {
	ordered := strings.Replace(instanceLine("proxy_1"), `"dedup_scope":"cell"`, `"by_arrival":true,"dedup_scope":"cell"`, 1)
	keyed := func(requestID string) string {
		return strings.Replace(requestLine("proxy_1", requestID), `"affinity":null`, `"affinity":"k:1"`, 1)
	}
	got := mustRun(t, batch(1, ordered, endpointListLine(0, "backend-x", "backend-y"),
		`{"membership":{"who":"proxy_1","how":2,"seq_no":1,"roster_id":0}}`)+
		batch(2_000_000, keyed("aa"), keyed("bb")))
	all := strings.Join(got, "\n")
	if strings.Count(all, `"place"`) != 1 || !strings.Contains(all, `"nonce":"expire:bb"`) {
		t.Errorf("got\n%s", all)
	}
}
