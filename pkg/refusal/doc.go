// Package refusal defines the errors that callers and operators can receive, and the answer to each of them.
//
// Every failure that reaches a caller has one Kind of a closed list. A table
// maps the kind to its Answer: the HTTP status, whether the request ran, and the
// delay before a retry.
//
// The invariant is that a kind whose Answer has NotRun is returned only if no
// endpoint can have run the request; any other failure has a kind whose Answer
// has RanUnknown or HasRun.
package refusal
