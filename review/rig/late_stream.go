package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The case "late-stream".
const (
	shortEvents  = 10
	shortPause   = 40 * time.Millisecond
	longEvents   = 22
	longPause    = 280 * time.Millisecond // Below the pause that the sheet allows.
	longPath     = "/lohu930/long"
	middleEvents = 40
	middlePause  = 100 * time.Millisecond
	middlePath   = "/lohu930/middle"
	sendAfter    = 3200 * time.Millisecond // After the SIGTERM; callers may use a list of addresses for 6 s.
	drafts       = 40
	lateDrafts   = 4
)

func init() { cases["late-stream"] = lateStream }

// serveDraft streams a draft with an event in each pause.
func serveDraft(s *server, ch *channel, r *http.Request) bool {
	id := r.Header.Get(wire("{request-id}"))
	s.run(id)
	events, pause := shortEvents, shortPause
	switch r.URL.Path {
	case longPath:
		events, pause = longEvents, longPause
	case middlePath:
		events, pause = middleEvents, middlePause
	}
	first := 1
	if _, err := fmt.Sscan(r.Header.Get("Last-Event-Id"), &first); err == nil {
		first++
	}
	head := fmt.Sprintf(wire("HTTP/1.1 200 OK\r\n{request-id}: %s\r\n{seal}: %s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"), id, seal(id, "draft"))
	if _, err := ch.Write([]byte(head)); err != nil {
		return false
	}
	for n := first; n <= events; n++ {
		time.Sleep(pause)
		event := fmt.Sprintf("id: %d\ndata: word %d\n\n", n, n)
		if _, err := fmt.Fprintf(ch, "%x\r\n%s\r\n", len(event), event); err != nil {
			return false
		}
	}
	_, err := ch.Write([]byte("0\r\n\r\n"))
	return err == nil
}

// lateStream sends a few longer streams to a router that was told to stop 3.2 s before.
func lateStream(f *fleet) (broken bool) {
	f.startStore()
	f.write(wire("{configuration}"), configuration(3, []map[string]any{draftRoute("foxtail-writers")}, []map[string]any{modelService("foxtail-writers", 4)}, 0))
	for i := range 3 {
		newServer(fmt.Sprintf("i-7f3a91c%d", i), "foxtail-writers", zones[i], 64, serveDraft).beat(f)
	}
	for n := range 3 {
		f.addRouter(n, 284)
	}
	f.awaitReady(10 * time.Second)
	newID := func() string { return fmt.Sprintf("%016x", rand.Uint64()) }
	var wg sync.WaitGroup
	for range drafts {
		for _, r := range f.routers {
			wg.Go(func() {
				if out := draft(newID(), "/lohu930/2f", 543, 4*longEvents).do(r.front); out.err != nil || out.status != 200 {
					f.record.line("a draft before the stop was answered %d, %v", out.status, out.err)
				}
			})
		}
		time.Sleep(100 * time.Millisecond)
	}
	wg.Wait()
	stopping := f.routers[0]
	f.record.line("the directory of %s names %v to callers in %s", stopping.vm, f.resolve(stopping, host, zones[0]), zones[0])
	if trouble {
		f.record.line("SIGTERM to %s", stopping.vm)
		_ = stopping.proc.cmd.Process.Signal(syscall.SIGTERM)
	}
	time.Sleep(sendAfter)
	var mu sync.Mutex
	for range lateDrafts {
		id := newID()
		f.record.line("stream %s is sent to %s", id, stopping.front)
		wg.Go(func() {
			out := draft(id, longPath, 543, 4*longEvents).do(stopping.front)
			mu.Lock()
			defer mu.Unlock()
			f.record.line("stream %s: status %d, %d of %d events in %v, end of the channel: %v", id, out.status, strings.Count(out.body, "data:"), longEvents, out.took.Round(time.Millisecond), out.err)
			if out.status == 200 && out.err != nil || out.status == 0 {
				f.record.line("LOST: the channel of stream %s ended without a complete answer", id)
				broken = true
			}
		})
	}
	wg.Wait()
	return broken
}
