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

// deployment returns the settings that the repository ships for a deployment.
func deployment(t testing.TB, name string) []byte {
	text, err := os.ReadFile(filepath.Join("..", "..", "deploy", name+".toml"))
	require.NoError(t, err)
	return text
}

func TestDeploymentsAreValid(t *testing.T) {
	for _, name := range []string{"goldfields", "steppe-wing"} {
		tree, err := ParseTree(name, deployment(t, name))
		require.NoError(t, err)
		require.Len(t, tree.Fleet.VMs, 6)
		require.Len(t, tree.Fleet.DataCentres, 3)
		texts, err := Split(tree)
		require.NoError(t, err)
		assembled, err := Assemble(texts)
		require.NoError(t, err)
		require.Equal(t, tree.Fleet, assembled.Fleet)
		require.ElementsMatch(t, tree.Teams, assembled.Teams)
	}
}

func TestWeighsSelectsDefaultCeilingStep(t *testing.T) {
	require.Equal(t, DefaultCeilingStepSeconds, Fleet{Weighs: "Overspend"}.EffectiveLimits().CeilingStepSeconds)
	require.Equal(t, LongCeilingStepSeconds, Fleet{Weighs: "FalseRefusals"}.EffectiveLimits().CeilingStepSeconds)
	explicit := Fleet{Weighs: "FalseRefusals", Limits: Limits{CeilingStepSeconds: 9}}
	require.Equal(t, 9, explicit.EffectiveLimits().CeilingStepSeconds)
}

func TestProblemsContainFileAndLine(t *testing.T) {
	good := string(deployment(t, "goldfields"))
	lineOf := func(text, part string) int {
		offset := strings.Index(text, part)
		require.GreaterOrEqual(t, offset, 0, part)
		return 1 + strings.Count(text[:offset], "\n")
	}
	for _, c := range []struct{ old, replacement, at, want string }{
		{"[[Fleet.VMs]]", "[[Fleet.VMs]]\nSpeed = 3", "Speed = 3", "unknown key"},
		{"DataCentre = \"boulder-west\"", "DataCentre = \"boulder-east\"", "boulder-east", "no data centre"},
		{"Size = 2.0", "Size = -1.0", "Size = -1.0", "gt 0"},
		{"Slots = 8", "Slots = \"many\"", "Slots = \"many\"", ""},
		{"KeySHA256 = \"", "KeySHA256 = \"zz", "KeySHA256 = \"zz", "SHA-256"},
		{"Class = \"Batch\"", "Class = \"Nightly\"", "Class = \"Nightly\"", "oneof"},
		{"[Fleet.Limits]", "[Fleet.Limits", "[Fleet.Limits", ""},
	} {
		bad := strings.Replace(good, c.old, c.replacement, 1)
		require.NotEqual(t, good, bad, c.old)
		_, err := ParseTree("goldfields.toml", []byte(bad))
		require.Error(t, err, c.replacement)
		require.Contains(t, err.Error(), fmt.Sprintf("goldfields.toml:%d: ", lineOf(bad, c.at)), c.replacement)
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

// TestAcceptedChangesNeverRevert submits changes that are based on current and on outdated heads, and delivers
// heads to followers late, repeatedly and out of order, where some reads of subtrees fail.
func TestAcceptedChangesNeverRevert(t *testing.T) {
	tree, err := ParseTree("goldfields", deployment(t, "goldfields"))
	require.NoError(t, err)
	texts, err := Split(tree)
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
		applied := make([]uint64, len(followers)) // Last revision that each follower applied.
		pending := make([][]ReadSubtree, len(followers))
		changes := 0
		now := start
		handle := func(i int, ev Event) {
			for _, action := range followers[i].Handle(now, ev) {
				switch action := action.(type) {
				case Apply:
					require.Greater(t, action.Revision, applied[i], "settings reverted")
					applied[i] = action.Revision
				case ReadSubtree:
					pending[i] = append(pending[i], action)
				case Reject:
					t.Fatalf("revision %d rejected: %v", action.Revision, action.Err)
				}
			}
		}
		finishRead := func(i int, fail bool) {
			r := pending[i][0]
			pending[i] = pending[i][1:]
			if fail {
				handle(i, SubtreeFailed(r))
				return
			}
			handle(i, SubtreeRead{r.Path, r.Version, contents[r.Version]})
		}
		t.Repeat(map[string]func(*rapid.T){
			"change": func(t *rapid.T) {
				changes++
				team := tree.Teams[rapid.IntRange(0, len(tree.Teams)-1).Draw(t, "team")]
				team.Levels.TargetPercent = float64(changes % 90)
				text, err := Format(team)
				require.NoError(t, err)
				path := TeamPath(team.Name)
				base := heads[rapid.IntRange(0, len(heads)-1).Draw(t, "seen")]
				change := Change{fmt.Sprint("change-", changes), path, base.Paths[path].Revision, text}
				next, err := head.Accept(change)
				if base.Paths[path] != head.Paths[path] {
					require.ErrorIs(t, err, ErrConflict)
					return
				}
				require.NoError(t, err)
				repeated, err := next.Accept(change)
				require.NoError(t, err)
				require.Equal(t, next, repeated, "a change was accepted twice")
				head = next
				heads = append(heads, next)
				contents[next.Paths[path]] = text
			},
			"show": func(t *rapid.T) {
				handle(rapid.IntRange(0, 1).Draw(t, "follower"), HeadReceived{Head: heads[rapid.IntRange(0, len(heads)-1).Draw(t, "head")]})
			},
			"read": func(t *rapid.T) {
				i := rapid.IntRange(0, 1).Draw(t, "follower")
				if len(pending[i]) == 0 {
					t.Skip("no pending read")
				}
				finishRead(i, rapid.Bool().Draw(t, "lost"))
			},
		})
		for i, f := range followers {
			handle(i, HeadReceived{Head: head})
			for range 3 {
				for len(pending[i]) > 0 {
					finishRead(i, false)
				}
				now = now.Add(RetryDelay)
				handle(i, Tick{})
			}
			require.Equal(t, head.Revision, f.Revision())
		}
	})
}
