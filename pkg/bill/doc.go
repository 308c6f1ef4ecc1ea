// Package bill deduplicates the retries of keyed requests: each key gets one answer and is billed once.
//
// A key consists of the account and its Idempotency-Key. Its home router, which
// Home selects among the live ones, tracks its requests in a Ledger: a retry that
// arrives during the first run waits for the result of that run, and a later one
// gets the stored answer. Routers may disagree on which ones are live, so a key
// can run twice during a network partition. Each router therefore reports its
// bill to the home among all configured VMs, which is the same on both sides of
// the partition and refunds every bill except the first that it receives.
//
// A Ledger stores a key for Ledger.Retention after its answer, and at most
// Ledger.MaxKeys keys. Afterwards a request with the same key is a new one.
package bill
