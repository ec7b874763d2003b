package fair

// choose returns the flow and class to serve next; the flow is nil if no request
// is queued.
func (q *Queue) choose() (*flow, Class) {
	if q.opts.Policy == FirstComeFirstServed {
		return q.oldestRequest()
	}
	live, batch := q.leastServed(Live), q.leastServed(Batch)
	switch {
	case batch == nil:
		return live, Live
	case live == nil:
		return batch, Batch
	case q.BatchDue():
		return batch, Batch
	default:
		return live, Live
	}
}

// updateBatchCredit updates the credit of the batch class after a dispatch: live
// service adds to it while batch requests are queued, batch service reduces it.
func (q *Queue) updateBatchCredit(c Class, cost float64) {
	share := float64(q.opts.BatchPercent) / 100
	switch {
	case c == Live && !q.empty(Batch):
		q.batchCredit += cost * share / (1 - share)
	case c == Batch:
		q.batchCredit = max(0, q.batchCredit-cost)
	}
}

// leastServed returns the flow with the lowest counter among those with queued
// requests of class c. Ties go to the flow whose first request is the oldest.
func (q *Queue) leastServed(c Class) *flow {
	var best *flow
	for _, f := range q.flows {
		if len(f.requests[c]) > 0 && (best == nil || q.before(f, best, c)) {
			best = f
		}
	}
	return best
}

func (q *Queue) before(a, b *flow, c Class) bool {
	if q.opts.Policy == TokenCounters && a.counters[c] != b.counters[c] {
		return a.counters[c] < b.counters[c]
	}
	return a.requests[c][0].seq < b.requests[c][0].seq
}

func (q *Queue) oldestRequest() (*flow, Class) {
	var best *flow
	var class Class
	for _, f := range q.flows {
		for c := range classCount {
			if len(f.requests[c]) == 0 {
				continue
			}
			if best == nil || f.requests[c][0].seq < best.requests[class][0].seq {
				best, class = f, c
			}
		}
	}
	return best, class
}
