package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	host = "ficu95.example"
	key  = "n2ctnfzs989anu6wsjnb"
)

// call is one client attempt.
type call struct {
	id, method, path, body string
	headers                []string
	deadline               time.Duration
}

// result is what the client got for a call.
type result struct {
	status int
	header http.Header
	body   string
	err    error // The channel ended without a complete answer.
	took   time.Duration
}

func (c call) encode() string {
	var b strings.Builder
	fmt.Fprintf(&b, wire("%s %s HTTP/1.1\r\nHost: %s\r\n{request-id}: %s\r\n{timeout}: %d\r\n{api-key}: %s\r\n"), c.method, c.path, host, c.id, c.deadline.Milliseconds(), key)
	for _, h := range c.headers {
		b.WriteString(h + "\r\n")
	}
	if c.body != "" || c.method == http.MethodPost {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(c.body))
	}
	b.WriteString("\r\n" + c.body)
	return b.String()
}

// do sends the call on a new channel and waits for its answer until the deadline.
func (c call) do(address string) result {
	began := time.Now()
	conn, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return result{err: err, took: time.Since(began)}
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(began.Add(c.deadline))
	if _, err := conn.Write([]byte(c.encode())); err != nil {
		return result{err: err, took: time.Since(began)}
	}
	resp, body, err := answerTo(bufio.NewReader(conn), c.method)
	out := result{body: string(body), err: err, took: time.Since(began)}
	if resp != nil {
		out.status, out.header = resp.StatusCode, resp.Header
	}
	return out
}

// counts counts things by name.
type counts struct {
	mu sync.Mutex
	n  map[string]int
}

func (c *counts) add(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.n == nil {
		c.n = map[string]int{}
	}
	c.n[name]++
}

// configuration returns a configuration with routes, services and one tenant.
func configuration(version int, routes, services []map[string]any, prepaid int64) map[string]any {
	tenant := map[string]any{"name": "hule930", "apiKeys": []string{key}}
	if prepaid > 0 {
		tenant["prepaid"] = prepaid
	}
	return map[string]any{
		"version": version, "routes": routes, "services": services, "tenants": []any{tenant},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 5000, "idleTimeoutMs": 60000},
	}
}

func orderRoute(service string) map[string]any {
	return map[string]any{"name": "order-place", "host": host, "pathPrefix": "/puxa403/", "kind": "non_idempotent", "service": service,
		"timeoutMs": 800, "goalMs": 300, "priority": 2, "maxAttempts": 1}
}

func plainService(name string) map[string]any {
	return map[string]any{"name": name, "healthPath": "/health", "maxConns": 96}
}

func draftRoute(service string) map[string]any {
	return map[string]any{"name": "engrave-draft", "host": host, "pathPrefix": "/lohu930/", "kind": "streaming", "service": service,
		"timeoutMs": 15000, "goalMs": 1200, "gapTargetMs": 300, "priority": 2, "maxAttempts": 2, "resumable": true, "sticky": true}
}

// modelService returns a service of model servers whose events hold stride tokens.
func modelService(name string, stride int) map[string]any {
	return map[string]any{"name": name, "healthPath": "/health", "maxConns": 360, "engine": map[string]any{"stride": stride}}
}

// draft returns a request for a stream. The prompt is read before, so that only its last part is the request's own.
func draft(id, path string, promptTokens, outputTokens int) call {
	return call{id: id, method: http.MethodPost, path: path, body: "engraving", deadline: 15 * time.Second, headers: []string{
		"Model: m", fmt.Sprintf(wire("{tokens}: %d,%d"), promptTokens, outputTokens), fmt.Sprintf(wire("{prompt-parts}: %s:%d"), id, promptTokens),
	}}
}
