// Package response writes the answers of the project's own HTTP API: JSON values and refusals.
package response
