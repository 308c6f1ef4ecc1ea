package gateway

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
)

// TestMalformedRegistrationsAreNotUsed guards against giving callers and routers addresses or sizes from the entry of another writer.
func TestMalformedRegistrationsAreNotUsed(t *testing.T) {
	const sound = `{"VM":"vm-1","Incarnation":1,"DataCentre":"z","Peer":"10.0.0.1:80","Front":"10.0.0.1:81"}`
	m := members{g: &Gateway{log: zap.NewNop()}, registrations: map[string]registration{}}
	m.addRegistration(memberPrefix+"vm-1", []byte(sound))
	require.Contains(t, m.registrations, "vm-1")
	for _, malformed := range []string{
		"", "null", "[]", "{}", "\xff", strings.Repeat("[", 1<<16),
		strings.Replace(sound, "vm-1", "vm-2", 1),
		strings.Replace(sound, "10.0.0.1:80", "", 1),
		strings.Replace(sound, "10.0.0.1:80", "10.0.0.1:99999", 1),
		strings.Replace(sound, "10.0.0.1:81", "a b:81", 1),
		strings.Replace(sound, "10.0.0.1:81", "", 1),
		strings.Replace(sound, `"z"`, `"`+strings.Repeat("z", 1<<16)+`"`, 1),
		strings.Replace(sound, `"Incarnation":1`, `"Incarnation":-1`, 1),
		strings.Replace(sound, `"Incarnation":1`, `"Size":-1`, 1),
		strings.Replace(sound, `"Incarnation":1`, `"Size":1e300`, 1),
		strings.Replace(sound, `"Incarnation":1`, `"Size":1e999`, 1),
	} {
		fresh := members{g: &Gateway{log: zap.NewNop()}, registrations: map[string]registration{}}
		fresh.addRegistration(memberPrefix+"vm-1", []byte(malformed))
		require.Empty(t, fresh.registrations, "%.200s", malformed)
		m.addRegistration(memberPrefix+"vm-1", []byte(malformed))
		require.Equal(t, "10.0.0.1:81", m.registrations["vm-1"].Front, "the sound registration stands, as probes tell whether its router lives")
	}
	m.addRegistration(memberPrefix, []byte(strings.Replace(sound, "vm-1", "", 1)))
	require.Len(t, m.registrations, 1)
}
