// Package upgrade decides how far a new version of a service is put into use: which share of its requests goes to targets of that version,
// and when the version is completed or rolled back. It is meant for services of a few to some thousands of requests a second, whose
// targets of both versions run side by side. It does no I/O: the agent stores each decision under a key of its own in the platform's
// store, from where it reaches all nodes; the evidence is in the memory of the gates and of the node that decides.
package upgrade
