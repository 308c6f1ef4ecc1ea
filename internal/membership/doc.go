// Package membership executes the decisions of the membership roster of one router.
//
// One mutex guards the roster; it is never held during a probe. Members passes
// the set of live routers to the components that depend on it: budget holders
// choose witnesses and borrow from peers, and endpoint pools divide what the
// routers of the fleet share.
package membership
