// Package admission decides when an overloaded router closes the listener for its callers and when it opens it again.
//
// The load: some callers keep to one router as long as its address accepts
// connections, whatever it answers. They overload it while the other routers of
// its data centre are idle. Such callers move within a second to another router
// when their connections are refused, and only then.
//
// Controller decides for one router by what that router knows; it asks nobody.
// The largest routers of a data centre, which together have a quarter of its
// capacity, never close, so that a quarter of the capacity accepts connections even
// if routers that do not know of each other close at the same time.
//
// Invariants:
//
//   - A listener is closed for MaxClosed at most, unless it cannot be opened.
//   - A listener stays open for OpenFactor times as long as it was closed before.
//   - A router that drains has an open listener, or opens it.
package admission
