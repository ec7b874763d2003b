package standin

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/objectstore"
	"github.com/eelgrassbay/eelgrassbay/internal/standin/fault"
	"github.com/eelgrassbay/eelgrassbay/internal/standin/modelengine"
	"github.com/eelgrassbay/eelgrassbay/internal/standin/objectapi"
	"github.com/eelgrassbay/eelgrassbay/internal/standin/plain"
	"github.com/eelgrassbay/eelgrassbay/internal/standin/weights"
)

// Names of the stand-ins whose name cannot be set.
const (
	NameObjectAPI   = "object_api"
	NameWeightStore = "weight_store"
)

// component is one stand-in with its HTTP server.
type component struct {
	name    string
	address string
	faults  *fault.Set
	server  *http.Server
}

// Group runs the stand-ins of one process.
type Group struct {
	log           *slog.Logger
	stopTimeout   time.Duration
	baseCtx       context.Context // of requests and goroutines
	cancel        context.CancelFunc
	watchCtx      context.Context // of requests to the object API
	cancelWatches context.CancelFunc
	goroutines    sync.WaitGroup
	components    []*component
	instanceList  objectstore.InstanceList // nil if upstreams are not registered
	registered    []string                 // names in instanceList
}

// Start starts the stand-ins that c configures. If one of them cannot listen,
// Start stops those already started and returns an error.
func Start(c Config, log *slog.Logger) (*Group, error) {
	baseCtx, cancel := context.WithCancel(context.Background())
	watchCtx, cancelWatches := context.WithCancel(baseCtx)
	g := &Group{
		log:           log,
		stopTimeout:   c.stopTimeout(),
		baseCtx:       baseCtx,
		cancel:        cancel,
		watchCtx:      watchCtx,
		cancelWatches: cancelWatches,
	}
	if err := g.start(c); err != nil {
		return nil, errors.Join(err, g.Stop())
	}
	return g, nil
}

func (g *Group) start(c Config) error {
	if c.InstanceList != "" {
		g.instanceList = objectstore.NewClient(objectstore.ClientOptions{BaseURL: c.InstanceList})
	}
	if c.ObjectAPI != nil {
		s := objectapi.New(c.ObjectAPI.options())
		if err := g.serve(g.watchCtx, NameObjectAPI, c.ObjectAPI.Address, s.Handler(), s.Faults()); err != nil {
			return err
		}
		if g.instanceList == nil {
			g.instanceList = s
		}
	}
	if c.WeightStore != nil {
		s := weights.New(c.WeightStore.options())
		if err := g.serve(g.baseCtx, NameWeightStore, c.WeightStore.Address, s.Handler(), s.Faults()); err != nil {
			return err
		}
	}
	for _, e := range c.Engines {
		if err := g.startEngine(e, c.EngineTiming); err != nil {
			return err
		}
	}
	for _, p := range c.PlainServices {
		if err := g.startPlain(p); err != nil {
			return err
		}
	}
	return nil
}

func (g *Group) startEngine(e Engine, defaults Timing) error {
	s := modelengine.New(e.options(defaults))
	if err := g.serve(g.baseCtx, e.Name, e.Address, s.Handler(), s.Faults()); err != nil {
		return err
	}
	g.goroutines.Go(func() { s.Run(g.baseCtx) })
	g.startRegistration(upstream{name: e.Name, zone: e.Zone, incarnation: s.BootID(), faults: s.Faults()})
	return nil
}

func (g *Group) startPlain(p PlainService) error {
	s := plain.New(p.options())
	if err := g.serve(g.baseCtx, p.Name, p.Address, s.Handler(), s.Faults()); err != nil {
		return err
	}
	g.startRegistration(upstream{name: p.Name, zone: p.Zone, incarnation: rand.Text(), faults: s.Faults()})
	return nil
}

// serve listens on an address and serves h there until Stop. The contexts of
// requests derive from ctx.
func (g *Group) serve(ctx context.Context, name, address string, h http.Handler, faults *fault.Set) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("standin: %s: %w", name, err)
	}
	c := &component{
		name:    name,
		address: l.Addr().String(),
		faults:  faults,
		server: &http.Server{
			Handler:           h,
			BaseContext:       func(net.Listener) context.Context { return ctx },
			ConnContext:       fault.ConnContext,
			ReadHeaderTimeout: time.Minute,
			ErrorLog:          slog.NewLogLogger(g.log.Handler(), slog.LevelWarn),
		},
	}
	g.components = append(g.components, c)
	faults.OnChange(func(f fault.Faults) { g.log.Info("faults changed", "component", name, "faults", f) })
	g.log.Info("stand-in listening", "component", name, "address", c.address)
	g.goroutines.Go(func() {
		if err := c.server.Serve(faults.Listener(l)); !errors.Is(err, http.ErrServerClosed) {
			g.log.Error("stand-in server failed", "component", name, "error", err)
		}
	})
	return nil
}

// Address returns the address, as IP:port, on which the named stand-in listens,
// or "" if there is none of that name.
func (g *Group) Address(name string) string {
	for _, c := range g.components {
		if c.name == name {
			return c.address
		}
	}
	return ""
}

// Stop shuts all stand-ins down gracefully: running requests may complete, and
// watches are answered at once. Connections still open at the stop timeout are
// closed, and Stop then returns an error.
func (g *Group) Stop() error {
	ctx, cancel := context.WithTimeout(context.Background(), g.stopTimeout)
	defer cancel()
	g.deregister(ctx)
	g.cancelWatches()
	var stopping sync.WaitGroup
	errs := make([]error, len(g.components))
	for i, c := range g.components {
		stopping.Go(func() { errs[i] = c.stop(ctx) })
	}
	stopping.Wait()
	g.cancel()
	g.goroutines.Wait()
	return errors.Join(errs...)
}

func (c *component) stop(ctx context.Context) error {
	c.faults.CloseSilent()
	if err := c.server.Shutdown(ctx); err != nil {
		return errors.Join(fmt.Errorf("standin: %s: %w", c.name, err), c.server.Close())
	}
	return nil
}
