// Package route holds the operators' routing configuration and selects the route and the service of a request.
//
// A request is opaque: only its host, path and ID are used. Its route is the one
// with the longest matching path prefix among the routes of its host. Its service
// is chosen by weight among the targets of the route, from a hash of the ID, so
// that the same ID always gives the same service.
//
// A Table must not be modified after NewTable returns it.
package route
