package objectstore

import (
	"context"
	"sync/atomic"
)

// Operation is a type of call to the platform.
type Operation int

// The operations. A Watch counts as one call however long it waits.
const (
	OperationGet Operation = iota
	OperationPut
	OperationDelete
	OperationList
	OperationWatch
	OperationInstances
	OperationRegister
	OperationDeregister
	numOperations // number of operations above
)

var operationNames = [numOperations]string{
	"get", "put", "delete", "list", "watch", "instances", "register", "deregister",
}

// String returns the operation's name as metrics show it.
func (o Operation) String() string { return operationNames[o] }

// Platform is the object store and the instance list.
type Platform interface {
	Store
	InstanceList
}

// CallCounter is a Platform that forwards to another one and counts the calls,
// failed ones included. It is safe for concurrent use if the other one is.
type CallCounter struct {
	platform Platform
	calls    [numOperations]atomic.Int64
}

var _ Platform = (*CallCounter)(nil)

// NewCallCounter returns a CallCounter that forwards to p, with all counts at zero.
func NewCallCounter(p Platform) *CallCounter { return &CallCounter{platform: p} }

// Each calls f with every operation and its number of calls.
func (c *CallCounter) Each(f func(op Operation, calls int64)) {
	for op := range numOperations {
		f(op, c.calls[op].Load())
	}
}

// Get implements Store.
func (c *CallCounter) Get(ctx context.Context, kind Kind, name string) (Object, error) {
	c.calls[OperationGet].Add(1)
	return c.platform.Get(ctx, kind, name)
}

// Put implements Store.
func (c *CallCounter) Put(ctx context.Context, obj Object) (Object, error) {
	c.calls[OperationPut].Add(1)
	return c.platform.Put(ctx, obj)
}

// Delete implements Store.
func (c *CallCounter) Delete(ctx context.Context, kind Kind, name string, version uint64) (Object, error) {
	c.calls[OperationDelete].Add(1)
	return c.platform.Delete(ctx, kind, name, version)
}

// List implements Store.
func (c *CallCounter) List(ctx context.Context, kind Kind) (List, error) {
	c.calls[OperationList].Add(1)
	return c.platform.List(ctx, kind)
}

// Watch implements Store.
func (c *CallCounter) Watch(ctx context.Context, kind Kind, since uint64) (List, error) {
	c.calls[OperationWatch].Add(1)
	return c.platform.Watch(ctx, kind, since)
}

// Instances implements InstanceList.
func (c *CallCounter) Instances(ctx context.Context) ([]Instance, error) {
	c.calls[OperationInstances].Add(1)
	return c.platform.Instances(ctx)
}

// Register implements InstanceList.
func (c *CallCounter) Register(ctx context.Context, inst Instance) error {
	c.calls[OperationRegister].Add(1)
	return c.platform.Register(ctx, inst)
}

// Deregister implements InstanceList.
func (c *CallCounter) Deregister(ctx context.Context, name string) error {
	c.calls[OperationDeregister].Add(1)
	return c.platform.Deregister(ctx, name)
}
