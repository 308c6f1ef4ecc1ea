package budget

import (
	"bufio"
	"encoding/json"
	"flag"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var traceFile = flag.String("trace.save", "", "file to which the trace of a failed run is written")

// save writes the trace of a failed run to the file given by -trace.save, so that it can be added to testdata.
func (m *fleetMachine) save(t *rapid.T) {
	if !t.Failed() || *traceFile == "" {
		return
	}
	f, err := os.Create(*traceFile)
	if err != nil {
		t.Logf("trace not saved: %v", err)
		return
	}
	defer func() { _ = f.Close() }()
	for _, s := range m.trace {
		_ = json.NewEncoder(f).Encode(s)
	}
}

// outcome is the last line of a trace: the expected state in tokens after all faults are healed and all routers have drained.
type outcome struct {
	Prepaid int64
	Spent   int64
	Free    int64
	Held    int64 // Tokens held by killed routers.
}

// TestTraces replays every recorded trace and compares the final state with the outcome in the trace.
func TestTraces(t *testing.T) {
	files, err := filepath.Glob("testdata/traces/*.jsonl")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			m := newFleetMachine()
			want := m.replay(t, file)
			m.finish(t)
			r := m.store.record
			got := outcome{Prepaid: r.Prepaid(), Spent: r.Spent(), Free: r.Free()}
			for _, a := range r.Holders {
				got.Held += a.Held()
			}
			require.Equal(t, want, got)
		})
	}
}

func (m *fleetMachine) replay(t *testing.T, file string) outcome {
	f, err := os.Open(file)
	require.NoError(t, err)
	defer func() { _ = f.Close() }()
	var want struct{ Outcome *outcome }
	for lines := bufio.NewScanner(f); lines.Scan(); {
		require.NoError(t, json.Unmarshal(lines.Bytes(), &want))
		if want.Outcome != nil {
			return *want.Outcome
		}
		var s step
		require.NoError(t, json.Unmarshal(lines.Bytes(), &s))
		if s.Op == "Fleet" {
			*m = *newFleetMachineOf(s.DataCentres...)
			continue
		}
		m.apply(t, s)
		m.verify(t)
	}
	t.Fatal("the trace has no outcome")
	return outcome{}
}
