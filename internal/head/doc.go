// Package head checks that the heads of HTTP answers are what RFC 9112 allows.
//
// The HTTP libraries accept more: names of fields that hold blanks, status codes such as 000, folded lines. Each reader
// then understands something else, so that an answer may be framed by a field that its sender did not mean, or a broken answer be
// taken for a whole one. An answer whose head fails the check is no answer: its connection is closed, and the request may have run.
package head
