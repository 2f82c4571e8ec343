package topology

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/chivemill/chivemill/balancer"
	"github.com/chivemill/chivemill/eventlog"
)

const (
	// maxConsultedReaders and maxConsultedFollowers bound the daemons that are asked about a gap.
	maxConsultedReaders   = 3
	maxConsultedFollowers = 2
	// maxUnansweredConsultations is how often a list is held back because no daemon answered. The list is read again every second.
	maxUnansweredConsultations = 2
	// maxReportedFailureAge is how long a failed call to the store is told to other daemons.
	maxReportedFailureAge = 10 * time.Second
)

// explainGap asks other daemons about a time without an answer of the store before a list is applied that lacks known entries. Only if
// none of them reached the store in that time, but some tried, the entries may have lapsed in an outage. It asks once a gap. It returns
// false if the list must not be applied yet, since nobody answered: what this daemon concluded alone would be taken over by its followers.
func (f *Feed) explainGap(ctx context.Context, servers []balancer.Server, readAt time.Time) bool {
	end, found := f.dir.UnexplainedGap(servers, readAt)
	if !found || end.Equal(f.explainedGapEnd) {
		return true
	}
	asked, answered := f.consult(ctx)
	if ctx.Err() != nil {
		return false
	}
	isExplained := answered > 0 || asked == 0 || f.unansweredConsultations >= maxUnansweredConsultations
	f.log.Info(eventlog.StoreGap, zap.Time("end", end), zap.Int("asked", asked), zap.Int("answered", answered),
		zap.Bool("explained", isExplained), zap.Bool("outage", f.dir.IsAfterOutage(readAt)))
	if !isExplained {
		f.unansweredConsultations++
		return false
	}
	f.explainedGapEnd, f.unansweredConsultations = end, 0
	return true
}

// consult pulls from some daemons at once, also from those whose lists are stale, and returns how many were asked and how many answered.
func (f *Feed) consult(ctx context.Context) (asked, answered int) {
	var pulls []*pull
	for _, address := range f.daemonsToConsult() {
		p := f.newPull(address, "", 0)
		p.request.AcceptsStale = true
		pulls = append(pulls, p)
	}
	errs := make([]error, len(pulls))
	var wg sync.WaitGroup
	for i, p := range pulls {
		wg.Go(func() { errs[i] = p.send(ctx, &f.peers) })
	}
	wg.Wait()
	for i, p := range pulls {
		if errs[i] != nil {
			f.log.Info(eventlog.PeerSilent, zap.String("address", p.address), zap.Error(errs[i]))
			continue
		}
		f.applyPull(ctx, p)
		answered++
	}
	return len(pulls), answered
}

// daemonsToConsult returns the addresses of the daemons that are asked about a gap: readers of data centres, then followers of this
// daemon, or the contact addresses if none is known.
func (f *Feed) daemonsToConsult() []string {
	view, _ := f.dir.View()
	var readers []string
	for _, c := range view.DataCentres {
		readers = append(readers, c.Reader)
	}
	if own := f.roles[0].reader(); own != "" {
		readers = append(readers, own)
	}
	var followers []string
	for _, h := range f.followers.all(time.Now()) {
		followers = append(followers, h.Address)
	}
	addresses := append(f.drawOthers(readers, maxConsultedReaders), f.drawOthers(followers, maxConsultedFollowers)...)
	if len(addresses) == 0 {
		addresses = f.drawOthers(f.contacts, maxConsultedReaders)
	}
	slices.Sort(addresses)
	return slices.Compact(addresses)
}

// drawOthers returns up to n of the addresses, without that of this daemon, in random order.
func (f *Feed) drawOthers(addresses []string, n int) []string {
	others := slices.DeleteFunc(slices.Clone(addresses), func(a string) bool { return a == "" || a == f.self.Address })
	slices.Sort(others)
	others = slices.Compact(others)
	rand.Shuffle(len(others), func(i, k int) { others[i], others[k] = others[k], others[i] })
	return others[:min(n, len(others))]
}

// storeFailedMS returns the time since a call of this daemon to the store failed last, in milliseconds, nil if that is not recent.
func (f *Feed) storeFailedMS(now time.Time) *int64 {
	f.mu.Lock()
	failedAt := f.storeFailedAt
	f.mu.Unlock()
	if age := now.Sub(failedAt); !failedAt.IsZero() && age < maxReportedFailureAge {
		ms := age.Milliseconds()
		return &ms
	}
	return nil
}

// storeSpan returns the time for which the store has answered as far as this daemon knows, nil if it never answered.
func (f *Feed) storeSpan(now time.Time) *storeSpan {
	from, to, found := f.dir.StoreSpan()
	if !found {
		return nil
	}
	return &storeSpan{FromMS: now.Sub(from).Milliseconds(), ToMS: ceilMilliseconds(now.Sub(to))}
}
