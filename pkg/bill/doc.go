// Package bill deduplicates the retries of keyed requests: each key gets one answer and is billed once.
//
// A request is identified by account and Idempotency-Key. Its home router
// tracks it in a Ledger: a retry that arrives during the first run waits for the
// result of that run, and a later one gets the stored answer. Home selects the
// home router. The selection is only a hint, so a key can run twice during a
// network partition. Each router therefore reports its bill to the home of the
// key, which refunds every bill except the first that it receives.
//
// A Ledger stores a key for Ledger.Retention after its answer, and at most
// Ledger.MaxKeys keys. Afterwards a request with the same key is a new one.
package bill
