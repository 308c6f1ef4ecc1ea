// Package credential extracts and compares the keys of callers, operators and routers.
package credential
