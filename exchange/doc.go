// Package exchange sends HTTP/1.1 requests over pooled connections and classifies their failures.
package exchange
