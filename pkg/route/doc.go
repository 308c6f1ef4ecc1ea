// Package route holds the configuration that operators give for opaque requests and finds the route of each.
//
// A Table is immutable. The route of a request is the one with the longest path
// prefix among those of its host; the service is a stable choice by the
// request's ID among the weighted targets of the route.
package route
