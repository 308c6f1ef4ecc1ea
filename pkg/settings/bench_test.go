package settings

import (
	"fmt"
	"testing"
	"time"

	"github.com/foxtaillanding/foxtaillanding/internal/proof"
)

// largeTree returns the subtrees of a tree with the given numbers of accounts, one per team, and of endpoints.
func largeTree(b *testing.B, accounts, endpoints int) map[string][]byte {
	tree, err := ParseTree("goldfields", deployment(b, "goldfields"))
	if err != nil {
		b.Fatal(err)
	}
	team, endpoint := tree.Teams[0], tree.Fleet.Endpoints[0]
	tree.Teams, tree.Fleet.Endpoints = nil, nil
	for i := range accounts {
		team.Name = fmt.Sprint("team-", i)
		team.Accounts = []Account{{Name: "only", KeySHA256: fmt.Sprintf("%064x", i)}}
		tree.Teams = append(tree.Teams, team)
	}
	for i := range endpoints {
		endpoint.Name = fmt.Sprint("endpoint-", i)
		tree.Fleet.Endpoints = append(tree.Fleet.Endpoints, endpoint)
	}
	texts, err := Split(tree)
	if err != nil {
		b.Fatal(err)
	}
	return texts
}

// BenchmarkChange accepts and applies a change to one team in a tree of 400 teams and 1,200 endpoints.
func BenchmarkChange(b *testing.B) {
	texts := largeTree(b, 400, 1200)
	var head Head
	var f Follower
	contents := map[Version][]byte{}
	for path, text := range texts {
		head, _ = head.Accept(Change{ID: path, Path: path})
		contents[head.Paths[path]] = text
	}
	deliverHead := func(now time.Time) {
		for _, action := range f.Handle(now, HeadReceived{Head: head}) {
			if read, ok := action.(ReadSubtree); ok {
				f.Handle(now, SubtreeRead{read.Path, read.Version, contents[read.Version]})
			}
		}
	}
	deliverHead(start)
	path := TeamPath("team-7")
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		next, err := head.Accept(Change{ID: fmt.Sprint(i), Path: path, BaseRevision: head.Paths[path].Revision})
		if err != nil {
			b.Fatal(err)
		}
		head = next
		contents[head.Paths[path]] = texts[path]
		deliverHead(start)
	}
	if f.Revision() != head.Revision {
		b.Fatal("the last change was not applied")
	}
}

func BenchmarkBytesForEachAccount(b *testing.B) {
	const n = 4000
	texts := largeTree(b, n, 1)
	proof.ReportBytesPerItem(b, n, func() any {
		tree, err := Assemble(texts)
		if err != nil {
			b.Fatal(err)
		}
		return tree
	})
}
