package platform

import (
	"context"
	"sync/atomic"
)

// Operation names a call to the platform.
type Operation int

// The operations. A waiting watch counts as one call.
const (
	OperationGet Operation = iota
	OperationPut
	OperationDelete
	OperationList
	OperationWatch
	OperationInstances
	OperationRegister
	OperationDeregister
	operations
)

var operationNames = [operations]string{
	"get", "put", "delete", "list", "watch", "instances", "register", "deregister",
}

// String returns the name under which the operation is counted.
func (o Operation) String() string { return operationNames[o] }

// Platform is the object API and the instance list.
type Platform interface {
	Store
	InstanceList
}

// Counted counts the calls to a platform, failed calls included. It is safe
// for concurrent use if the platform is.
type Counted struct {
	platform Platform
	calls    [operations]atomic.Int64
}

var _ Platform = (*Counted)(nil)

// NewCounted returns p with its calls counted from now on.
func NewCounted(p Platform) *Counted { return &Counted{platform: p} }

// Each calls f with the count of every operation.
func (c *Counted) Each(f func(op Operation, calls int64)) {
	for op := range operations {
		f(op, c.calls[op].Load())
	}
}

// Get implements Store.
func (c *Counted) Get(ctx context.Context, kind Kind, name string) (Object, error) {
	c.calls[OperationGet].Add(1)
	return c.platform.Get(ctx, kind, name)
}

// Put implements Store.
func (c *Counted) Put(ctx context.Context, obj Object) (Object, error) {
	c.calls[OperationPut].Add(1)
	return c.platform.Put(ctx, obj)
}

// Delete implements Store.
func (c *Counted) Delete(ctx context.Context, kind Kind, name string, version uint64) (Object, error) {
	c.calls[OperationDelete].Add(1)
	return c.platform.Delete(ctx, kind, name, version)
}

// List implements Store.
func (c *Counted) List(ctx context.Context, kind Kind) (List, error) {
	c.calls[OperationList].Add(1)
	return c.platform.List(ctx, kind)
}

// Watch implements Store.
func (c *Counted) Watch(ctx context.Context, kind Kind, since uint64) (List, error) {
	c.calls[OperationWatch].Add(1)
	return c.platform.Watch(ctx, kind, since)
}

// Instances implements InstanceList.
func (c *Counted) Instances(ctx context.Context) ([]Instance, error) {
	c.calls[OperationInstances].Add(1)
	return c.platform.Instances(ctx)
}

// Register implements InstanceList.
func (c *Counted) Register(ctx context.Context, inst Instance) error {
	c.calls[OperationRegister].Add(1)
	return c.platform.Register(ctx, inst)
}

// Deregister implements InstanceList.
func (c *Counted) Deregister(ctx context.Context, name string) error {
	c.calls[OperationDeregister].Add(1)
	return c.platform.Deregister(ctx, name)
}
