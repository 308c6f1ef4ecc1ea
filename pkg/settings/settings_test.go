package settings

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/foxtaillanding/foxtaillanding/internal/proof"
)

func TestMain(m *testing.M) { proof.Main(m) }

var start = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

func deployment(t testing.TB, name string) []byte {
	text, err := os.ReadFile(filepath.Join("..", "..", "deploy", name+".toml"))
	require.NoError(t, err)
	return text
}

func TestDeploymentsPassTheirChecks(t *testing.T) {
	for _, name := range []string{"goldfields", "steppe-wing"} {
		tree, err := ParseTree(name, deployment(t, name))
		require.NoError(t, err)
		require.Len(t, tree.Fleet.VMs, 6)
		require.Len(t, tree.Fleet.DataCentres, 3)
		texts, err := Split(tree)
		require.NoError(t, err)
		again, err := Assemble(texts)
		require.NoError(t, err)
		require.Equal(t, tree.Fleet, again.Fleet)
		require.ElementsMatch(t, tree.Teams, again.Teams)
	}
}

func TestWeightsChooseTheCeilingStep(t *testing.T) {
	require.Equal(t, DefaultCeilingStepSeconds, Fleet{Weighs: "Overspend"}.EffectiveLimits().CeilingStepSeconds)
	require.Equal(t, LongCeilingStepSeconds, Fleet{Weighs: "FalseRefusals"}.EffectiveLimits().CeilingStepSeconds)
	given := Fleet{Weighs: "FalseRefusals", Limits: Limits{CeilingStepSeconds: 9}}
	require.Equal(t, 9, given.EffectiveLimits().CeilingStepSeconds)
}

func TestProblemsNameTheirPlace(t *testing.T) {
	good := string(deployment(t, "goldfields"))
	lineOf := func(text, part string) int {
		at := strings.Index(text, part)
		require.GreaterOrEqual(t, at, 0, part)
		return 1 + strings.Count(text[:at], "\n")
	}
	for _, c := range []struct{ old, bad, at, want string }{
		{"[[Fleet.VMs]]", "[[Fleet.VMs]]\nSpeed = 3", "Speed = 3", "unknown key"},
		{"DataCentre = \"boulder-west\"", "DataCentre = \"boulder-east\"", "boulder-east", "no data centre"},
		{"Size = 2.0", "Size = -1.0", "Size = -1.0", "gt 0"},
		{"Slots = 8", "Slots = \"many\"", "Slots = \"many\"", ""},
		{"KeySHA256 = \"", "KeySHA256 = \"zz", "KeySHA256 = \"zz", "SHA-256"},
		{"Class = \"Batch\"", "Class = \"Nightly\"", "Class = \"Nightly\"", "oneof"},
		{"[Fleet.Limits]", "[Fleet.Limits", "[Fleet.Limits", ""},
	} {
		bad := strings.Replace(good, c.old, c.bad, 1)
		require.NotEqual(t, good, bad, c.old)
		_, err := ParseTree("goldfields.toml", []byte(bad))
		require.Error(t, err, c.bad)
		require.Contains(t, err.Error(), fmt.Sprintf("goldfields.toml:%d: ", lineOf(bad, c.at)), c.bad)
		require.Contains(t, err.Error(), c.want)
	}
}

func FuzzParseTree(f *testing.F) {
	f.Add(deployment(f, "goldfields"))
	f.Add([]byte("[[Teams]]\nName = 3"))
	f.Add([]byte("= ="))
	f.Fuzz(func(_ *testing.T, text []byte) {
		_, _ = ParseTree("fuzz", text)
	})
}

// TestAcceptedChangesNeverRevert races operators and shows heads to followers late, doubled and out of order.
func TestAcceptedChangesNeverRevert(t *testing.T) {
	base, err := ParseTree("goldfields", deployment(t, "goldfields"))
	require.NoError(t, err)
	texts, err := Split(base)
	require.NoError(t, err)
	var first Head
	contents := map[Version][]byte{}
	for path, text := range texts {
		first, err = first.Accept(Change{ID: path, Path: path, Content: text})
		require.NoError(t, err)
		contents[first.Paths[path]] = text
	}
	rapid.Check(t, func(t *rapid.T) {
		heads := []Head{first}
		head := first
		contents := contents
		followers := []*Follower{{}, {}}
		last := make([]uint64, len(followers))
		reads := make([][]ReadSubtree, len(followers))
		n := 0
		now := start
		handle := func(i int, ev Event) {
			for _, action := range followers[i].Handle(now, ev) {
				switch action := action.(type) {
				case Apply:
					require.Greater(t, action.Revision, last[i], "settings reverted")
					last[i] = action.Revision
				case ReadSubtree:
					reads[i] = append(reads[i], action)
				case Reject:
					t.Fatalf("revision %d rejected: %v", action.Revision, action.Err)
				}
			}
		}
		read := func(i int, lost bool) {
			r := reads[i][0]
			reads[i] = reads[i][1:]
			if lost {
				handle(i, SubtreeFailed(r))
				return
			}
			handle(i, SubtreeRead{r.Path, r.Version, contents[r.Version]})
		}
		t.Repeat(map[string]func(*rapid.T){
			"change": func(t *rapid.T) {
				n++
				team := base.Teams[rapid.IntRange(0, len(base.Teams)-1).Draw(t, "team")]
				team.Levels.TargetPercent = float64(n % 90)
				text, err := Format(team)
				require.NoError(t, err)
				path := TeamPath(team.Name)
				seen := heads[rapid.IntRange(0, len(heads)-1).Draw(t, "seen")]
				change := Change{fmt.Sprint("change-", n), path, seen.Paths[path].Revision, text}
				next, err := head.Accept(change)
				if seen.Paths[path] != head.Paths[path] {
					require.ErrorIs(t, err, ErrConflict)
					return
				}
				require.NoError(t, err)
				again, err := next.Accept(change)
				require.NoError(t, err)
				require.Equal(t, next, again, "a change was accepted twice")
				head = next
				heads = append(heads, next)
				contents[next.Paths[path]] = text
			},
			"show": func(t *rapid.T) {
				handle(rapid.IntRange(0, 1).Draw(t, "follower"), HeadSeen{Head: heads[rapid.IntRange(0, len(heads)-1).Draw(t, "head")]})
			},
			"read": func(t *rapid.T) {
				i := rapid.IntRange(0, 1).Draw(t, "follower")
				if len(reads[i]) == 0 {
					t.Skip("nothing to read")
				}
				read(i, rapid.Bool().Draw(t, "lost"))
			},
		})
		for i, f := range followers {
			handle(i, HeadSeen{Head: head})
			for range 3 {
				for len(reads[i]) > 0 {
					read(i, false)
				}
				now = now.Add(RetryEvery)
				handle(i, Tick{})
			}
			require.Equal(t, head.Revision, f.Revision())
		}
	})
}
