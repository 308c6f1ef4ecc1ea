// Package strict decodes the project's own JSON formats, in which an unknown field is an error.
package strict
