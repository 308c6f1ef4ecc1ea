package command

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"github.com/foxtaillanding/foxtaillanding/internal/gateway"
	"github.com/foxtaillanding/foxtaillanding/internal/standin"
	"github.com/foxtaillanding/foxtaillanding/pkg/route"
	"github.com/foxtaillanding/foxtaillanding/platform"
	platformstandin "github.com/foxtaillanding/foxtaillanding/platform/standin"
	"github.com/foxtaillanding/foxtaillanding/platform/wire"
)

// gatewayFixture is a gateway that is not started, with a store and one server of streams.
type gatewayFixture struct {
	store        string // Address of the stand-in of the store.
	front, ready string // Addresses.
	settings     string // Path of the settings file.
}

// newGatewayFixture starts a store and a server whose streams have the given number of events, 5 ms apart.
func newGatewayFixture(t *testing.T, events string) gatewayFixture {
	store := startProcess(t, "standin", "store")
	server := startProcess(t, "standin", "server", "--id", "i-0", "--software", "v0", "--events", events)
	f := gatewayFixture{store: store.address, front: standin.FreeAddress(), ready: standin.FreeAddress(), settings: filepath.Join(t.TempDir(), "gateway.toml")}
	f.register(t, "i-0", "app", server.address)
	configuration, err := platform.EncodeConfiguration(route.Configuration{
		Version: 1,
		Routes: []route.Route{{
			Name: "stream", Host: "h", Prefix: "/stream/", Kind: route.Stream, Targets: []route.Target{{Service: "app", Weight: 1}},
			Timeout: waitTimeout, Objective: time.Second, Gap: time.Second, MaxAttempts: 1,
		}, {
			Name: "long", Host: "h", Prefix: "/long/", Kind: route.NonIdempotent, Targets: []route.Target{{Service: "long", Weight: 1}},
			Timeout: waitTimeout, Objective: time.Second, MaxAttempts: 1,
		}},
		Services: []route.Service{{Name: "app"}, {Name: "long"}},
	})
	require.NoError(t, err)
	f.write(t, wire.ConfigurationKey, configuration)
	text := "VM = \"vm-1\"\n[Listen]\nFront = \"" + f.front + "\"\nReady = \"" + f.ready + "\"\nPeer = \"" + standin.FreeAddress() +
		"\"\n[Store]\nAddress = \"" + store.address + "\"\nWritesPerSecond = 400.0\nReadsPerSecond = 2000.0\n"
	require.NoError(t, os.WriteFile(f.settings, []byte(text), 0o600))
	return f
}

// write sets a key of the store.
func (f gatewayFixture) write(t *testing.T, key string, value []byte) {
	code, body := send(http.MethodPost, "http://"+f.store+platformstandin.WritePath, "", "", platformstandin.Written{Key: key, Value: value})
	require.Equal(t, http.StatusOK, code, string(body))
}

// register writes the entry of a server of a service.
func (f gatewayFixture) register(t *testing.T, id, service, address string) {
	const slots = 64
	entry, err := platform.EncodeEntry(gateway.Entry{Service: service, Address: address, DataCentre: "dc", Version: "v0", Slots: slots, StartedAt: 1})
	require.NoError(t, err)
	f.write(t, wire.ServersPrefix+id, entry)
}

// command returns the command of the gateway.
func (f gatewayFixture) command() *exec.Cmd {
	return exec.Command(filepath.Join(binDir, "foxtaillanding"), "gateway", "--settings", f.settings)
}

// start starts the gateway, which is killed at the end of the test. The result of the process is sent when it ends.
func (f gatewayFixture) start(t *testing.T, cmd *exec.Cmd) <-chan error {
	require.NoError(t, cmd.Start())
	ended := make(chan error, 1)
	done := make(chan struct{})
	go func() {
		ended <- cmd.Wait()
		close(done)
	}()
	t.Cleanup(func() {
		_ = cmd.Process.Kill()
		<-done
	})
	return ended
}

// awaitReady waits until the gateway is ready, which fails when it has ended.
func (f gatewayFixture) awaitReady(t *testing.T, ended <-chan error) {
	require.Eventually(t, func() bool {
		select {
		case err := <-ended:
			require.NoError(t, err, "the gateway ended")
		default:
		}
		code, _ := send(http.MethodGet, "http://"+f.ready+wire.ReadyPath, "", "", nil)
		return code == http.StatusOK
	}, waitTimeout, 10*time.Millisecond)
}

// openStream sends a request for a stream until one begins, and returns the rest of its answer after the first line.
func (f gatewayFixture) openStream(t *testing.T) *bufio.Reader {
	var in *bufio.Reader
	require.Eventually(t, func() bool {
		in = f.tryStream(t)
		return in != nil
	}, waitTimeout, 50*time.Millisecond, "no stream began")
	_, err := in.ReadString('\n')
	require.NoError(t, err)
	return in
}

// tryStream sends a request for a stream, and returns nil if it is not answered 200.
func (f gatewayFixture) tryStream(t *testing.T) *bufio.Reader {
	req, err := http.NewRequest(http.MethodPost, "http://"+f.front+"/stream/x", strings.NewReader("body"))
	require.NoError(t, err)
	req.Host = "h"
	req.Header.Set(wire.HeaderRequestID, "id-1")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil
	}
	t.Cleanup(func() { _ = resp.Body.Close() })
	if resp.StatusCode != http.StatusOK {
		return nil
	}
	return bufio.NewReader(resp.Body)
}

// TestSettingsChangeWhileStoppingEndsNoRequest guards against review/2 (LOST): SIGHUP ended a stopping router and cut its
// requests. It sends SIGHUP, and the stop signals again, to a gateway that is stopping with a stream in flight.
func TestSettingsChangeWhileStoppingEndsNoRequest(t *testing.T) {
	const events = 400 // Of 2 s in all.
	f := newGatewayFixture(t, "400")
	cmd := f.command()
	ended := f.start(t, cmd)
	f.awaitReady(t, ended)
	in := f.openStream(t)
	for _, s := range []syscall.Signal{syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP} {
		require.NoError(t, cmd.Process.Signal(s))
		time.Sleep(100 * time.Millisecond)
	}
	rest, err := io.ReadAll(in)
	require.NoError(t, err, "the stream was cut after %d bytes", len(rest))
	require.Equal(t, events, bytes.Count(rest, []byte("data:")))
	require.NoError(t, cmd.Process.Signal(syscall.SIGHUP))
	require.NoError(t, <-ended, "the gateway did not stop in order")
}

// startSignalled starts the gateway and sends it signals while it is still reading its settings, which come from a pipe so
// that the moment is known.
func (f gatewayFixture) startSignalled(t *testing.T, signals ...syscall.Signal) <-chan error {
	text, err := os.ReadFile(f.settings)
	require.NoError(t, err)
	regular := f.settings + ".regular"
	require.NoError(t, os.Rename(f.settings, regular))
	require.NoError(t, unix.Mkfifo(f.settings, 0o600))
	cmd := f.command()
	ended := f.start(t, cmd)
	out, err := os.OpenFile(f.settings, os.O_WRONLY, 0) // Returns when the gateway has opened it.
	require.NoError(t, err)
	require.NoError(t, os.Rename(regular, f.settings)) // For the reload.
	for _, s := range signals {
		require.NoError(t, cmd.Process.Signal(s))
		time.Sleep(100 * time.Millisecond)
	}
	_, err = out.Write(text)
	require.NoError(t, err)
	require.NoError(t, out.Close())
	return ended
}

// TestSettingsChangeAtTheStartEndsNoProcess sends SIGHUP to a process that has just started. The signal ended it.
func TestSettingsChangeAtTheStartEndsNoProcess(t *testing.T) {
	f := newGatewayFixture(t, "1")
	f.awaitReady(t, f.startSignalled(t, syscall.SIGHUP))
}

// TestStopAtTheStartIsInOrder sends stop signals and SIGHUP to a process that has just started.
func TestStopAtTheStartIsInOrder(t *testing.T) {
	f := newGatewayFixture(t, "1")
	ended := f.startSignalled(t, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM)
	select {
	case err := <-ended:
		require.NoError(t, err, "the gateway did not stop in order")
	case <-time.After(waitTimeout):
		require.Fail(t, "the gateway did not stop")
	}
}

// TestHangupDoesNotEndTheChatRouter sends SIGHUP to a chat router, which takes its settings from the store, with a request
// in flight, before and after the stop request. The signal ended it.
func TestHangupDoesNotEndTheChatRouter(t *testing.T) {
	c := startCluster(t, 1_000_000, "--speed", "10")
	r := c.routers[1]
	result := make(chan int, 1)
	go func() {
		code, _ := c.chat(1, "", prompt("one two", 20))
		result <- code
	}()
	require.Eventually(t, func() bool { return c.status(t, 1).InFlight == 1 }, waitTimeout, 10*time.Millisecond)
	for _, s := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM} {
		r.signal(t, s)
		time.Sleep(100 * time.Millisecond)
	}
	require.Equal(t, http.StatusOK, <-result)
	require.NoError(t, r.cmd.Wait(), "the router did not stop in order")
}

// TestLostReaderOfTheLogEndsNoProcess closes the pipe to which a gateway writes its log, as a collector of logs that ends,
// while a stream is in flight. The next line that was written ended the process with SIGPIPE.
func TestLostReaderOfTheLogEndsNoProcess(t *testing.T) {
	const events = 400 // Of 2 s in all.
	f := newGatewayFixture(t, "400")
	cmd := f.command()
	reader, writer, err := os.Pipe()
	require.NoError(t, err)
	cmd.Stdout, cmd.Stderr = writer, writer
	ended := f.start(t, cmd)
	require.NoError(t, writer.Close())
	go func() { _, _ = io.Copy(io.Discard, reader) }()
	f.awaitReady(t, ended)
	in := f.openStream(t)
	require.NoError(t, reader.Close())
	rest, err := io.ReadAll(in)
	require.NoError(t, err, "the stream was cut after %d bytes", len(rest))
	require.Equal(t, events, bytes.Count(rest, []byte("data:")))
	require.NoError(t, cmd.Process.Signal(syscall.SIGTERM))
	require.NoError(t, <-ended, "the gateway did not stop in order")
}
