// Package examples holds the example documents and settings of two deployments.
package examples
