// Package caller is the reference client of a router fleet.
//
// A Client fetches the list of entry addresses from the fleet and caches it for
// the lifetime that the list states. It sends every attempt of a request with the
// same Idempotency-Key, so that the request is executed and billed at most once.
// It retries a refusal that has a Retry-After header after that time, and returns
// any other refusal to its caller.
package caller
