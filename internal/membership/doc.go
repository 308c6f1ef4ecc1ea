// Package membership guards the roster of one router by a mutex and answers questions about it.
//
// What the roster decides is carried out by its owner, which also has the
// connections to the other routers.
package membership
