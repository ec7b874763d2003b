package load

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"
)

// CheckInCounts counts how often the check-ins of this run were executed, as the
// plain services report it.
type CheckInCounts struct {
	CheckIns int `json:"check_ins"` // that ran at least once
	Repeated int `json:"repeated"`  // that ran more than once
}

const countCheckInRunsTimeout = 10 * time.Second

// countCheckInRuns queries the plain services. It returns nil if the experiment
// names none.
func (g *generator) countCheckInRuns(ctx context.Context) (*CheckInCounts, error) {
	if len(g.exp.PlainServices) == 0 {
		return nil, nil
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), countCheckInRunsTimeout)
	defer cancel()
	sum := map[string]uint64{}
	for _, base := range g.exp.PlainServices {
		if err := g.addRuns(ctx, base, sum); err != nil {
			return nil, fmt.Errorf("load: count runs of check-ins at %s: %w", base, err)
		}
	}
	counts := &CheckInCounts{}
	for id, n := range sum {
		if !strings.HasPrefix(id, g.runID+"-") {
			continue
		}
		counts.CheckIns++
		if n > 1 {
			counts.Repeated++
		}
	}
	return counts, nil
}

// addRuns adds the number of runs of each check-in at one plain service to sum,
// by request id.
func (g *generator) addRuns(ctx context.Context, base string, sum map[string]uint64) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, strings.TrimSuffix(base, "/")+"/runs", nil)
	if err != nil {
		return err
	}
	res, err := g.client.Do(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", res.StatusCode)
	}
	runs := map[string]uint64{}
	if err := json.NewDecoder(res.Body).Decode(&runs); err != nil {
		return err
	}
	for id, n := range runs {
		sum[id] += n
	}
	return nil
}
