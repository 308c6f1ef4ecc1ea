// Package bill makes a caller's retries of one keyed request cost one bill and bring one answer.
//
// A request is identified by account and Idempotency-Key. Its home router keeps
// it in a Ledger: a retry that comes while the first run goes on is attached to
// it, a later one is answered with the stored answer. Home names the home
// router; it is only a hint, so two runs of one key can happen during a
// partition. Each router then tells the key's home about its bill, and the
// home refunds every bill but the first that it hears of.
//
// A key is remembered for Ledger.Retain after its answer, at most Ledger.Keep
// keys. After that the same key is a new request.
package bill
