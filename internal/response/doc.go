// Package response writes the answers of the product's own interface: JSON, and refusals from their table.
package response
