package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The case "large-bodies". The rate, the deadline and the memory are those of the sheet of steppe-wing.
const (
	machineMB     = 134
	noteRate      = 30 // A second, at all routers together.
	noteTime      = 25 * time.Second
	smallBody     = 4 << 10
	largeBody     = 4<<20 - 4<<10 // Below maxBodyBytes.
	uploadTime    = 7 * time.Second
	uploadPiece   = 32 << 10
	keptPerRouter = 3
	restartDelay  = 500 * time.Millisecond
	lostAllowed   = 3
)

func init() { cases["large-bodies"] = largeBodies }

// largeBodies sends requests with long bodies, which the configuration allows, over slow links. As the platform, it kills a
// router that exceeds its memory, and starts it again.
func largeBodies(f *fleet) (broken bool) {
	f.startStore()
	f.write(wire("{configuration}"), configuration(3, []map[string]any{draftRoute("drafting-models")}, []map[string]any{modelService("drafting-models", 5)}, 0))
	for i := range 9 {
		newServer(fmt.Sprintf("i-7f3a91c%d", i), "drafting-models", zones[i%len(zones)], 64, serveDraft).beat(f)
	}
	for n := range 6 {
		f.addRouter(n, machineMB)
	}
	f.awaitReady(10 * time.Second)
	end := time.Now().Add(noteTime)
	lost := 0
	var mu sync.Mutex
	var platform, clients sync.WaitGroup
	for _, r := range f.routers {
		platform.Go(func() { f.limitMemory(r, end) })
		for range keptPerRouter {
			clients.Go(func() {
				n := keptClient(f, r.front, end)
				mu.Lock()
				defer mu.Unlock()
				lost += n
			})
		}
	}
	size := largeBody
	if !trouble {
		size = smallBody
	}
	seen := counts{n: map[string]int{}}
	for time.Now().Before(end) {
		address := f.routers[rand.IntN(len(f.routers))].front
		clients.Go(func() { seen.add(upload(address, size)) })
		time.Sleep(time.Second / noteRate)
	}
	clients.Wait()
	platform.Wait()
	for name, n := range seen.n {
		f.record.line("%d requests with a body of %d bytes: %s", n, size, name)
	}
	f.record.line("%d requests on kept channels were passed on and got no complete answer", lost)
	return lost > lostAllowed
}

// limitMemory kills a router whose memory exceeds that of its machine, and starts it again after a short delay.
func (f *fleet) limitMemory(r *router, end time.Time) {
	most := 0
	for time.Now().Before(end) {
		time.Sleep(20 * time.Millisecond)
		kb := memoryOf(r.proc.cmd.Process.Pid)
		most = max(most, kb)
		if kb <= machineMB<<10 {
			continue
		}
		f.record.line("%s uses %d MB of %d and is killed, as the platform does", r.vm, kb>>10, machineMB)
		_ = r.proc.cmd.Process.Signal(syscall.SIGKILL)
		<-r.proc.done
		time.Sleep(restartDelay)
		f.restart(r)
	}
	f.record.line("%s used %d MB at most", r.vm, most>>10)
}

// memoryOf returns the resident memory of a process in kilobytes, or 0 if it has ended.
func memoryOf(pid int) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	kb := 0
	if _, rest, ok := strings.Cut(string(text), "VmRSS:"); ok {
		_, _ = fmt.Sscan(rest, &kb)
	}
	return kb
}

// upload sends a request whose body takes uploadTime, and returns what became of it.
func upload(address string, size int) string {
	conn, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return "no channel"
	}
	defer func() { _ = conn.Close() }()
	began := time.Now()
	c := draft(fmt.Sprintf("%016x", rand.Uint64()), "/lohu930/2f", 543, 4*longEvents)
	_ = conn.SetDeadline(began.Add(c.deadline))
	c.body = strings.Repeat("x", size)
	text := c.encode()
	for sent := 0; sent < len(text); sent += uploadPiece {
		if _, err := conn.Write([]byte(text[sent:min(len(text), sent+uploadPiece)])); err != nil {
			return "the channel ended before the request was sent"
		}
		time.Sleep(time.Until(began.Add(time.Duration(float64(uploadTime) * float64(sent) / float64(len(text))))))
	}
	resp, _, err := answerTo(bufio.NewReader(conn), c.method)
	switch {
	case err != nil && resp == nil:
		return "no answer"
	case err != nil:
		return "half an answer"
	}
	return fmt.Sprintf("answered %d", resp.StatusCode)
}

// keptClient sends streams one after the other on kept channels, and returns how many had begun and were not completed.
func keptClient(f *fleet, address string, end time.Time) (lost int) {
	var conn net.Conn
	var in *bufio.Reader
	for time.Now().Before(end) {
		if conn == nil {
			var err error
			if conn, err = net.DialTimeout("tcp4", address, time.Second); err != nil {
				conn = nil
				time.Sleep(200 * time.Millisecond)
				continue
			}
			in = bufio.NewReader(conn)
			if _, _, err := keptStream(conn, in); err != nil {
				_ = conn.Close()
				conn = nil
				continue // Not on a kept channel yet.
			}
		}
		id, started, err := keptStream(conn, in)
		if err == nil {
			continue
		}
		if started {
			lost++
			f.record.line("LOST: stream %s on a kept channel had begun and got no complete answer: %v", id, err)
		}
		_ = conn.Close()
		conn = nil
	}
	if conn != nil {
		_ = conn.Close()
	}
	return lost
}

// keptStream sends one stream on a channel. It reports whether the answer had begun.
func keptStream(conn net.Conn, in *bufio.Reader) (id string, started bool, err error) {
	c := draft(fmt.Sprintf("%016x", rand.Uint64()), middlePath, 543, 4*longEvents)
	_ = conn.SetDeadline(time.Now().Add(c.deadline))
	if _, err := conn.Write([]byte(c.encode())); err != nil {
		return c.id, false, err
	}
	resp, _, err := answerTo(in, c.method)
	if err == nil && resp.StatusCode != 200 {
		err = fmt.Errorf("status %d", resp.StatusCode)
		return c.id, false, err
	}
	if err == nil && resp.Close {
		err = fmt.Errorf("the router closes the channel")
		return c.id, false, err
	}
	return c.id, resp != nil, err
}
