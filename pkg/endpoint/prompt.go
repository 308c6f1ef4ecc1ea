package endpoint

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// chainOf returns a hash of the prompt up to each part; a cached part is of use only behind all parts before it.
func chainOf(parts []Part) []uint64 {
	if len(parts) == 0 {
		return nil
	}
	chain := make([]uint64, len(parts))
	var last uint64
	for i, part := range parts {
		last = mix(last, part.ID)
		chain[i] = last
	}
	return chain
}

func mix(a, b uint64) uint64 {
	var buf [16]byte
	binary.LittleEndian.PutUint64(buf[:8], a)
	binary.LittleEndian.PutUint64(buf[8:], b)
	return xxhash.Sum64(buf[:])
}

// shared returns the hash of what a job's prompt shares with other requests, or zero.
func (j *job) shared() uint64 {
	if len(j.chain) < 2 {
		return 0
	}
	return j.chain[len(j.chain)-2]
}

// prefill returns the prompt tokens that the endpoint would have to compute for a job.
//
// The home of a prompt's shared parts is taken to have them: every router sends
// the first request with these parts there.
func (b *backend) prefill(j *job, home bool, p Policy) int64 {
	if len(j.Parts) == 0 {
		if j.Prefix != 0 && b.prefixes.Contains(j.Prefix) {
			return int64(float64(j.PromptTokens) * (1 - p.CacheBenefit))
		}
		return j.PromptTokens
	}
	left := j.PromptTokens
	for i, part := range j.Parts {
		own := i == len(j.Parts)-1
		if !b.prefixes.Contains(j.chain[i]) && (own || !home) {
			break
		}
		left -= part.Tokens
	}
	return max(0, left)
}

// prefilling returns the prompt tokens of this router's attempts that still wait for their first token.
func (b *backend) prefilling() int64 {
	var sum int64
	for _, j := range b.running {
		if j.firstAt.IsZero() {
			sum += j.prefill
		}
	}
	return sum
}

// remember notes that the endpoint has read a job's prompt.
func (b *backend) remember(j *job) {
	if j.Prefix != 0 {
		b.prefixes.Add(j.Prefix, struct{}{})
	}
	for _, hash := range j.chain {
		b.prefixes.Add(hash, struct{}{})
	}
}

// home returns the usable endpoint that all routers prefer for a prompt's shared parts, by rendezvous hashing.
func (p *Pool) home(j *job, usable func(*backend) bool) *backend {
	key := j.shared()
	if key == 0 {
		return nil
	}
	var best *backend
	var most uint64
	for _, name := range p.names {
		b := p.backends[name]
		if !usable(b) {
			continue
		}
		if score := mix(b.hash, key); best == nil || score > most {
			best = b
			most = score
		}
	}
	return best
}
