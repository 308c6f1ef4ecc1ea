package endpoint

import (
	"encoding/binary"

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

// home returns the usable endpoint that all routers prefer for a prompt's shared
// parts, chosen by rendezvous hashing, or nil if the prompt has no shared parts.
func (p *Pool) home(j *job, usable func(*backend) bool) *backend {
	key := j.sharedHash()
	if key == 0 {
		return nil
	}
	var best *backend
	var highest uint64
	for _, name := range p.names {
		b := p.backends[name]
		if !usable(b) {
			continue
		}
		if score := hashPair(b.hash, key); best == nil || score > highest {
			best = b
			highest = score
		}
	}
	return best
}
