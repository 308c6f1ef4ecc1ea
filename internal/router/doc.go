// Package router is the daemon for the product's own interface: model requests, service calls and orders.
//
// It translates what callers say into requests of the request path and their
// answers back. Settings and operators' calls are packages of their own;
// budgets, endpoints and members are those that the gateway uses too. What only
// this interface has stays here: keyed requests that are answered once
// (bill.Ledger) and orders that are claimed in the store (order.Coordinator), each
// behind one mutex that is never held during a call.
//
// A request is run by one worker of an ants pool, which owns the request's
// state; store and peer calls run on a second pool. The time is read here and
// handed to the deciders.
package router
