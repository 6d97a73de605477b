// Package exchange sends HTTP/1.1 requests over connections that it keeps, and tells apart how they fail.
package exchange
