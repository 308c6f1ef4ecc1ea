// Package refusal holds the closed list of error kinds that the fleet answers with, and the table from kind to answer.
//
// Every failure that reaches a caller is one Kind. The table decides the HTTP
// status, whether the request ran, and when the caller may come back. The
// invariant is that a kind whose row says NotRun is only ever returned before
// any part of the request was sent to an endpoint; everything later uses a kind
// whose row says Unknown or Ran.
package refusal
