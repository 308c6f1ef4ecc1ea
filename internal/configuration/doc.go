// Package configuration keeps the product's own settings in force at one router.
//
// A few routers of a data centre watch the store for the head, the others ask
// these; subtrees are read from the store or from a peer that has them in
// force. A change is checked as a whole tree and accepted by one conditional
// write of the head, so that accepted changes never revert.
package configuration
