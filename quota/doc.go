// Package quota decides which requests of a tenant a node admits, so that all nodes together keep the tenant's limit without asking
// each other: each node holds the share of the limit that its demand has in the demand of all nodes. It answers tenants that suddenly
// send many times their usual on all nodes, and tenants whose few callers use few nodes. Its state is in the memory of the nodes.
package quota
