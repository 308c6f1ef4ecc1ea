package endpoint

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// prefixHashesOf returns, for each part, a hash of the prompt up to and including it.
// A cached part can be reused only together with all parts before it.
func prefixHashesOf(parts []Part) []uint64 {
	if len(parts) == 0 {
		return nil
	}
	hashes := make([]uint64, len(parts))
	var last uint64
	for i, part := range parts {
		last = hashPair(last, part.ID)
		hashes[i] = last
	}
	return hashes
}

func hashPair(a, b uint64) uint64 {
	var buf [16]byte
	binary.LittleEndian.PutUint64(buf[:8], a)
	binary.LittleEndian.PutUint64(buf[8:], b)
	return xxhash.Sum64(buf[:])
}

// sharedHash returns the hash of the prompt without its last part, which is unique
// to the request. It is zero if there are no other parts.
func (j *job) sharedHash() uint64 {
	if len(j.prefixHashes) < 2 {
		return 0
	}
	return j.prefixHashes[len(j.prefixHashes)-2]
}

// prefill estimates the number of prompt tokens that the endpoint must compute for a job.
//
// The parameter home reports whether b is the job's home endpoint (see Pool.home).
// The home endpoint is assumed to have the shared parts cached, because every
// router sends the first request with these parts there.
func (b *backend) prefill(j *job, home bool, p Policy) int64 {
	if len(j.Parts) == 0 {
		if j.Prefix != 0 && b.prefixes.Contains(j.Prefix) {
			return int64(float64(j.PromptTokens) * (1 - p.CacheBenefit))
		}
		return j.PromptTokens
	}
	remaining := j.PromptTokens
	for i, part := range j.Parts {
		unique := i == len(j.Parts)-1
		if !b.prefixes.Contains(j.prefixHashes[i]) && (unique || !home) {
			break
		}
		remaining -= part.Tokens
	}
	return max(0, remaining)
}

// pendingPrefill estimates the prompt tokens still to compute for this router's attempts without a first token.
func (b *backend) pendingPrefill() int64 {
	var sum int64
	for _, j := range b.running {
		if j.firstTokenAt.IsZero() {
			sum += j.prefill
		}
	}
	return sum
}

// recordPrompt marks the prefixes of a job's prompt as cached by the endpoint.
func (b *backend) recordPrompt(j *job) {
	if j.Prefix != 0 {
		b.prefixes.Add(j.Prefix, struct{}{})
	}
	for _, hash := range j.prefixHashes {
		b.prefixes.Add(hash, struct{}{})
	}
}

// endpointsPerHome is the number of endpoints for which a prompt has one home.
//
// The traffic of a service grows with its endpoints, and so do the requests with a prompt that many callers use. One home gets
// more of them than it can read, above all after a start of all routers: these do not see each other's requests, and none knows
// yet where else the prompt is cached. Each further home reads the prompt once more.
const endpointsPerHome = 250

// home returns the usable endpoint that this router prefers for a prompt's shared parts, or nil if the prompt has no shared
// parts. All routers choose among the same few endpoints, which rendezvous hashing ranks highest.
func (p *Pool) home(j *job, usable func(*backend) bool) *backend {
	key := j.sharedHash()
	if key == 0 {
		return nil
	}
	homes := p.highestRanked(key, 1+p.serving[j.Service]/endpointsPerHome, usable)
	if len(homes) == 0 {
		return nil
	}
	return homes[hashPair(key, p.Policy.Seed)%uint64(len(homes))]
}

// highestRanked returns the n usable endpoints with the highest rendezvous scores for a key, the highest first, or all if there
// are fewer.
func (p *Pool) highestRanked(key uint64, n int, usable func(*backend) bool) []*backend {
	ranked := make([]*backend, 0, n+1)
	scores := make([]uint64, 0, n+1)
	for _, b := range p.ordered {
		score := hashPair(b.hash, key)
		i := len(ranked)
		for i > 0 && scores[i-1] < score {
			i--
		}
		if i == n || !usable(b) {
			continue
		}
		ranked = slices.Insert(ranked, i, b)
		scores = slices.Insert(scores, i, score)
		if len(ranked) > n {
			ranked = ranked[:n]
			scores = scores[:n]
		}
	}
	return ranked
}
