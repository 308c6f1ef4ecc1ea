// Package membership carries out what the roster of one router decides.
//
// Members guards the roster by one mutex, which is never held during a probe,
// and brings the set of live routers to the deciders that act on it: budgets
// choose witnesses and borrow from peers, endpoints divide what the fleet shares.
package membership
