package main

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
	"github.com/rotisserie/eris"

	"github.com/chivemill/chivemill/metrics"
)

// scrapeInterval is the time between two readings of each daemon's metrics.
const scrapeInterval = 500 * time.Millisecond

// series maps a metric's name and labels, such as `name{a="b"}`, to its value.
type series map[string]float64

// sum adds the series of the name whose labels contain every part.
func (s series) sum(name string, parts ...string) float64 {
	total := 0.0
next:
	for key, value := range s {
		if key != name && !strings.HasPrefix(key, name+"{") {
			continue
		}
		for _, part := range parts {
			if !strings.Contains(key, part) {
				continue next
			}
		}
		total += value
	}
	return total
}

// accumulator sums the increases of one daemon's counters over its restarts. It is not safe for concurrent use.
type accumulator struct{ last, total series }

func newAccumulator() *accumulator { return &accumulator{last: series{}, total: series{}} }

// add takes the newest values. A counter that fell started again from 0.
func (a *accumulator) add(now series) {
	for key, value := range now {
		increase := value - a.last[key]
		if increase < 0 {
			increase = value
		}
		a.total[key] += increase
	}
	a.last = now
}

// scraper reads the metrics of all daemons. It is safe for concurrent use.
type scraper struct {
	urls   []string
	client *http.Client

	// scraping keeps readings in order, because an older value would look like a restart.
	scraping sync.Mutex

	mu       sync.Mutex
	counters []*accumulator
}

func newScraper(operators []string) *scraper {
	s := &scraper{urls: operators, client: &http.Client{Timeout: time.Second}}
	for range operators {
		s.counters = append(s.counters, newAccumulator())
	}
	return s
}

// run scrapes until ctx ends.
func (s *scraper) run(ctx context.Context) {
	ticker := time.NewTicker(scrapeInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		s.scrapeAll(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
}

// scrapeAll reads each daemon once. A daemon that does not answer keeps its values.
func (s *scraper) scrapeAll(ctx context.Context) {
	s.scraping.Lock()
	defer s.scraping.Unlock()
	var wg sync.WaitGroup
	for i := range s.urls {
		wg.Go(func() {
			now, err := s.scrape(ctx, i)
			if err != nil {
				return
			}
			s.mu.Lock()
			s.counters[i].add(now)
			s.mu.Unlock()
		})
	}
	wg.Wait()
}

// scrape returns the counters and gauges of a daemon.
func (s *scraper) scrape(ctx context.Context, i int) (series, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, s.urls[i]+metrics.Path, nil)
	if err != nil {
		return nil, err
	}
	resp, err := s.client.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(resp.Body)
	if err != nil {
		return nil, eris.Wrap(err, "metrics")
	}
	values := series{}
	for name, family := range families {
		for _, m := range family.GetMetric() {
			var labels []string
			for _, l := range m.GetLabel() {
				labels = append(labels, l.GetName()+`="`+l.GetValue()+`"`)
			}
			key := name + "{" + strings.Join(labels, ",") + "}"
			switch {
			case m.Counter != nil:
				values[key] = m.GetCounter().GetValue()
			case m.Gauge != nil:
				values[key] = m.GetGauge().GetValue()
			}
		}
	}
	return values, nil
}

// totals returns the increases of each daemon's counters since the start of the run, and the last values.
func (s *scraper) totals() (increases, last []series) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.counters {
		total, values := series{}, series{}
		for key, value := range c.total {
			total[key] = value
		}
		for key, value := range c.last {
			values[key] = value
		}
		increases, last = append(increases, total), append(last, values)
	}
	return increases, last
}
