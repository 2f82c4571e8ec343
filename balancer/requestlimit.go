package balancer

import (
	"math"
	"time"
)

const (
	// limitReportInterval is the time after which a limit that is still in force is reported again.
	limitReportInterval = time.Second
	// limitChangeFraction is the relative difference from which a limit counts as changed.
	limitChangeFraction = 0.05
)

// LimitStatement is what a response says of the replica's request limit.
type LimitStatement int

// Values of LimitStatement.
const (
	// NoLimit means that the response names no limit.
	NoLimit LimitStatement = iota
	// LimitNamed means that the response names a limit.
	LimitNamed
	// LimitUnreadable means that the response names a limit that cannot be read, so nothing is known about it.
	LimitUnreadable
)

// LimitReport is the statement of one response about the replica's request limit: the requests a second that the replica
// accepts from all daemons together.
type LimitReport struct {
	Statement LimitStatement
	// Rate is the limit in requests a second, 0 unless the Statement is LimitNamed.
	Rate float64
	// SentAt is when the request was sent.
	SentAt time.Time
}

// LimitEvent describes a limit that has been named, has changed or has ended. It is repeated while the limit is in force.
type LimitEvent struct {
	Server Server
	// Rate is the limit in requests a second, 0 if it has ended. Previous is the limit before the event.
	Rate, Previous float64
	// Attempts is the number of attempts that this daemon started since the previous event.
	Attempts int
}

// requestLimit is the request limit of a replica.
type requestLimit struct {
	// inForce is set while the replica names a limit; rate is that limit in requests a second.
	inForce bool
	rate    float64
	// namedAt is when the limit was last named in a response to this daemon.
	namedAt time.Time
	// reportedAt is the time of the last LimitEvent, attempts the number of attempts since.
	reportedAt time.Time
	attempts   int
}

// ReportLimit records what a response says of the request limit of its replica. ok reports whether the event is worth a log
// line. A response without a limit ends the limit only if its request was sent after the limit was last named, because
// responses to concurrent requests can overtake one another.
func (b *Balancer) ReportLimit(id string, report LimitReport, now time.Time) (event LimitEvent, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.replicas[id]
	if r == nil {
		return LimitEvent{}, false
	}
	l := &r.limit
	previous := l.rate
	switch {
	case report.Statement == LimitNamed:
		l.inForce, l.rate, l.namedAt = true, report.Rate, now
	case report.Statement == NoLimit && l.inForce && report.SentAt.After(l.namedAt):
		l.inForce, l.rate = false, 0
	default:
		return LimitEvent{}, false
	}
	isChange := math.Abs(l.rate-previous) > limitChangeFraction*previous
	if !isChange && now.Sub(l.reportedAt) < limitReportInterval {
		return LimitEvent{}, false
	}
	event = LimitEvent{Server: r.Server, Rate: l.rate, Previous: previous, Attempts: l.attempts}
	l.reportedAt, l.attempts = now, 0
	return event, true
}
