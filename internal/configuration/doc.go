// Package configuration distributes the settings and puts them in force at one router.
//
// A few routers in each data centre watch the store for a new head, and the
// others query their peers. Subtrees are read from the store or, if that fails,
// from a peer that has them in force. A change is validated together with the
// rest of the tree and accepted by one conditional write of the head, so an
// accepted change is never reverted.
package configuration
