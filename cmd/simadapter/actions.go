package main

import (
	"encoding/json"

	"baylock/balancer"
)

// wireAction is one line of output: an object with a single key, the action's name. Exactly one field is
// set. Durations are in microseconds.
type wireAction struct {
	Send      *wireSend      `json:"place,omitempty"`
	Reject    *wireReject    `json:"overload_reply,omitempty"`
	Fail      *wireFail      `json:"report_failure,omitempty"`
	SetTimer  *wireSetTimer  `json:"schedule,omitempty"`
	Subscribe *wireSubscribe `json:"subscribe,omitempty"`
	Log       *wireLog       `json:"emit,omitempty"`
	BatchDone *struct{}      `json:"done,omitempty"`
}

type wireSend struct {
	Instance  string                `json:"who"`
	RequestID string                `json:"ticket"`
	Timeout   balancer.Microseconds `json:"timeout_us"`
	Endpoint  string                `json:"backend"`
}

type wireReject struct {
	Instance   string                `json:"who"`
	RequestID  string                `json:"ticket"`
	RetryAfter balancer.Microseconds `json:"stay_away_us"`
}

type wireFail struct {
	Instance  string `json:"who"`
	RequestID string `json:"ticket"`
}

type wireSetTimer struct {
	Instance string                `json:"who"`
	Delay    balancer.Microseconds `json:"sleep_for_us"`
	Token    string                `json:"nonce"`
}

type wireSubscribe struct {
	Instance string `json:"who"`
	Enable   bool   `json:"enable"`
}

type wireLog struct {
	Instance string `json:"who"`
	Line     string `json:"line"`
}

// actionWriter writes the actions of one instance. It implements balancer.Host.
type actionWriter struct {
	instance string
	encoder  *json.Encoder
}

// write writes one action. The underlying bufio.Writer keeps a write error and returns it from its next Flush.
func (w *actionWriter) write(action wireAction) { _ = w.encoder.Encode(action) }

// Send writes an attempt. The simulator delivers an attempt immediately, so the deadline by which its last
// byte must reach the endpoint is not needed.
func (w *actionWriter) Send(id, endpoint string, timeout, _ balancer.Microseconds) {
	w.write(wireAction{Send: &wireSend{Instance: w.instance, RequestID: id, Timeout: timeout, Endpoint: endpoint}})
}

// Reject writes a rejection with its Retry-After hint.
func (w *actionWriter) Reject(id string, retryAfter balancer.Microseconds) {
	w.write(wireAction{Reject: &wireReject{Instance: w.instance, RequestID: id, RetryAfter: retryAfter}})
}

// Fail writes a failure.
func (w *actionWriter) Fail(id string) {
	w.write(wireAction{Fail: &wireFail{Instance: w.instance, RequestID: id}})
}

// SetTimer writes the request for a timer.
func (w *actionWriter) SetTimer(delay balancer.Microseconds, token string) {
	w.write(wireAction{SetTimer: &wireSetTimer{Instance: w.instance, Delay: delay, Token: token}})
}

// Subscribe writes the request to subscribe to the endpoint list.
func (w *actionWriter) Subscribe() {
	w.write(wireAction{Subscribe: &wireSubscribe{Instance: w.instance, Enable: true}})
}

// Log writes a log line.
func (w *actionWriter) Log(line string) {
	w.write(wireAction{Log: &wireLog{Instance: w.instance, Line: line}})
}
