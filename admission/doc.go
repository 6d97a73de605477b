// Package admission shares the slots of a target between tenants and call classes by weighted fair queueing. It admits,
// queues or rejects each call, and sheds load that would miss its deadline.
package admission
