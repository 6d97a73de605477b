// Package operator is the client of the nodes' HTTP interface that the operators' commands use.
package operator
