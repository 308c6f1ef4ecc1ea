package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os/exec"
	"sync"
	"time"
)

func init() { cases["idle"] = idle }

// idle sends the site's whole traffic to the one router that is left. The clients open a channel for each request and leave it
// to the router to close it when it has been idle for the limit of the configuration.
func idle(w *world) bool {
	w.addServer("counter", "kal-north", 6)
	w.addServer("counter", "kal-south", 6)
	w.addServer("counter", "boulder-west", 6)
	w.configure("counter")
	g := w.addGateway("kal-north")
	w.command = func() *exec.Cmd {
		return exec.Command("/bin/sh", "-c", "ulimit -n 4100 && exec target/foxtaillanding gateway")
	}
	w.start(g)
	if !w.awaitReady(g, 10*time.Second) {
		check(errNotReady)
	}
	const perSecond, idleLimit = 71, 15 * time.Second
	var mu sync.Mutex
	type try struct {
		at       time.Time
		answered bool
	}
	var tries []*try
	open := 0
	one := func(t *try) {
		conn, err := net.DialTimeout("tcp4", g.front, time.Second)
		if err != nil {
			w.rec.add("client: no channel: %v", err)
			return
		}
		mu.Lock()
		open++
		mu.Unlock()
		defer func() {
			_ = conn.Close()
			mu.Lock()
			open--
			mu.Unlock()
		}()
		id := fmt.Sprintf("%016x", 0x1c41d07b00000000+w.sequence.Add(1))
		fmt.Fprintf(conn, "GET %s2f HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: 1500\r\n%s: %s\r\n\r\n",
			stock, host, names["request-id"], id, names["timeout"], names["api-key"], w.keys[0])
		_ = conn.SetReadDeadline(time.Now().Add(1800 * time.Millisecond))
		in := bufio.NewReader(conn)
		resp, err := http.ReadResponse(in, nil)
		if err == nil {
			_, err = io.Copy(io.Discard, resp.Body)
		}
		if err != nil {
			w.rec.add("client: %s gets no answer: %v", id, err)
			return
		}
		if resp.StatusCode != 200 {
			w.rec.add("client: %s gets %d", id, resp.StatusCode)
		}
		mu.Lock()
		t.answered = true
		mu.Unlock()
		keep := 4 * idleLimit / 5
		if w.trouble {
			keep = 4 * time.Minute
		}
		_ = conn.SetReadDeadline(time.Now().Add(keep))
		_, _ = in.ReadByte() // Until the router closes the channel or the client no longer keeps it.
	}
	go func() {
		platform := &http.Client{Timeout: time.Second}
		for range time.Tick(time.Second) {
			resp, err := platform.Get(fmt.Sprintf("http://127.0.0.1:%d%s", portsOf[g.name][0], names["ready"]))
			status := 0
			if err == nil {
				_, _ = io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close()
				status = resp.StatusCode
			}
			mu.Lock()
			if status != 200 {
				w.rec.add("platform: readiness answers %d, %v", status, err)
			}
			n := open
			mu.Unlock()
			w.rec.add("clients have %d channels open", n)
		}
	}()
	start := time.Now()
	tick := time.NewTicker(time.Second / perSecond)
	for range tick.C {
		if time.Since(start) > 85*time.Second {
			break
		}
		t := &try{at: time.Now()}
		mu.Lock()
		tries = append(tries, t)
		mu.Unlock()
		go one(t)
	}
	time.Sleep(2 * time.Second)
	mu.Lock()
	defer mu.Unlock()
	broken := false
	unanswered := 0
	last := start
	for i, t := range tries {
		if !t.answered {
			unanswered++
			continue
		}
		if gap := t.at.Sub(last); gap > contact {
			broken = true
			w.rec.add("RECOVER: no new channel was served from %.1f s to %.1f s after the start of the traffic", last.Sub(start).Seconds(), t.at.Sub(start).Seconds())
		}
		last = tries[i].at
	}
	if gap := time.Since(last); gap > contact+2*time.Second {
		broken = true
		w.rec.add("RECOVER: no new channel was served from %.1f s on", last.Sub(start).Seconds())
	}
	w.rec.add("%d of %d requests got no answer", unanswered, len(tries))
	return broken
}
