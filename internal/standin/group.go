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

	"github.com/eelgrassbay/eelgrassbay/internal/platform"
	"github.com/eelgrassbay/eelgrassbay/internal/standin/fault"
	"github.com/eelgrassbay/eelgrassbay/internal/standin/modelengine"
	"github.com/eelgrassbay/eelgrassbay/internal/standin/objectapi"
	"github.com/eelgrassbay/eelgrassbay/internal/standin/plain"
	"github.com/eelgrassbay/eelgrassbay/internal/standin/weights"
)

// Names of the stand-ins that have none in the settings.
const (
	NameObjectAPI   = "object_api"
	NameWeightStore = "weight_store"
)

// component is one stand-in that serves.
type component struct {
	name    string
	address string
	faults  *fault.Set
	server  *http.Server
}

// Group is the stand-ins of one process.
type Group struct {
	log         *slog.Logger
	stopTimeout time.Duration
	base        context.Context // of requests and duties
	cancel      context.CancelFunc
	watches     context.Context // of requests to the object API
	endWatches  context.CancelFunc
	duties      sync.WaitGroup
	components  []*component
	list        platform.InstanceList // nil for no registration
	upstreams   []string              // names registered in list
}

// Start runs the stand-ins that c names. What was started is stopped again if
// one of them cannot listen.
func Start(c Config, log *slog.Logger) (*Group, error) {
	base, cancel := context.WithCancel(context.Background())
	watches, endWatches := context.WithCancel(base)
	g := &Group{
		log:         log,
		stopTimeout: c.stopTimeout(),
		base:        base,
		cancel:      cancel,
		watches:     watches,
		endWatches:  endWatches,
	}
	if err := g.start(c); err != nil {
		return nil, errors.Join(err, g.Stop())
	}
	return g, nil
}

func (g *Group) start(c Config) error {
	if c.InstanceList != "" {
		g.list = platform.NewClient(platform.ClientOptions{BaseURL: c.InstanceList})
	}
	if c.ObjectAPI != nil {
		s := objectapi.New(c.ObjectAPI.options())
		if err := g.serve(g.watches, NameObjectAPI, c.ObjectAPI.Address, s.Handler(), s.Faults()); err != nil {
			return err
		}
		if g.list == nil {
			g.list = s
		}
	}
	if c.WeightStore != nil {
		s := weights.New(c.WeightStore.options())
		if err := g.serve(g.base, NameWeightStore, c.WeightStore.Address, s.Handler(), s.Faults()); err != nil {
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

func (g *Group) startEngine(e Engine, common Timing) error {
	s := modelengine.New(e.options(common))
	if err := g.serve(g.base, e.Name, e.Address, s.Handler(), s.Faults()); err != nil {
		return err
	}
	g.duties.Go(func() { s.Run(g.base) })
	g.register(upstream{name: e.Name, zone: e.Zone, incarnation: s.Boot(), faults: s.Faults()})
	return nil
}

func (g *Group) startPlain(p PlainService) error {
	s := plain.New(p.options())
	if err := g.serve(g.base, p.Name, p.Address, s.Handler(), s.Faults()); err != nil {
		return err
	}
	g.register(upstream{name: p.Name, zone: p.Zone, incarnation: rand.Text(), faults: s.Faults()})
	return nil
}

// serve listens on an address and serves there until the stop. Requests end
// with ctx at the latest.
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
	g.log.Info("stand-in listens", "component", name, "address", c.address)
	g.duties.Go(func() {
		if err := c.server.Serve(faults.Listener(l)); !errors.Is(err, http.ErrServerClosed) {
			g.log.Error("stand-in ended", "component", name, "error", err)
		}
	})
	return nil
}

// Address returns where a stand-in listens, by its name.
func (g *Group) Address(name string) string {
	for _, c := range g.components {
		if c.name == name {
			return c.address
		}
	}
	return ""
}

// Stop shuts all stand-ins down: requests end, watches are answered at once.
// What has not ended by the stop timeout is cut, and Stop returns an error.
func (g *Group) Stop() error {
	ctx, cancel := context.WithTimeout(context.Background(), g.stopTimeout)
	defer cancel()
	g.deregister(ctx)
	g.endWatches()
	var stops sync.WaitGroup
	errs := make([]error, len(g.components))
	for i, c := range g.components {
		stops.Go(func() { errs[i] = c.stop(ctx) })
	}
	stops.Wait()
	g.cancel()
	g.duties.Wait()
	return errors.Join(errs...)
}

func (c *component) stop(ctx context.Context) error {
	c.faults.CloseSilent()
	if err := c.server.Shutdown(ctx); err != nil {
		return errors.Join(fmt.Errorf("standin: %s: %w", c.name, err), c.server.Close())
	}
	return nil
}
