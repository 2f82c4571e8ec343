// Package eventlog writes the structured log of a daemon without ever blocking the daemon. The number of lines per
// second is limited for each event, and lines are written asynchronously from a bounded queue. Dropped lines are counted
// and reported in the log.
package eventlog

import (
	"io"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Defaults of Options.
const (
	// DefaultMaxPerSecond is the maximum number of lines per second for each event. About 25 events can repeat, so a
	// daemon writes at most about 500 lines per second; in normal operation it writes only a few.
	DefaultMaxPerSecond = 20
	// DefaultQueueSize is the capacity of the queue in lines, enough for about one second at that maximum.
	DefaultQueueSize = 512
	// reportInterval is the interval at which dropped lines are reported.
	reportInterval = 5 * time.Second
	// closeTimeout limits how long Close waits for queued lines to be written.
	closeTimeout = 200 * time.Millisecond
)

// Options configure a Log. Zero values of MaxPerSecond and QueueSize are replaced by the defaults above.
type Options struct {
	Level        zapcore.Level
	MaxPerSecond int
	QueueSize    int
}

// Log is a logger with an asynchronous writer. It is safe for concurrent use.
type Log struct {
	*zap.Logger
	queue chan []byte
	done  chan struct{}
	// rateLimited counts the lines dropped by the limit of their event, queueFull those dropped because the queue was full
	// or the write failed.
	rateLimited, queueFull, written, bytes atomic.Int64
}

// New starts a log that writes JSON lines to out and adds the fields to each line. The caller must call Close.
func New(out io.Writer, opts Options, fields ...zap.Field) *Log {
	if opts.MaxPerSecond == 0 {
		opts.MaxPerSecond = DefaultMaxPerSecond
	}
	if opts.QueueSize == 0 {
		opts.QueueSize = DefaultQueueSize
	}
	l := &Log{queue: make(chan []byte, opts.QueueSize), done: make(chan struct{})}
	encoding := zap.NewProductionEncoderConfig()
	encoding.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	encoding.EncodeDuration = zapcore.MillisDurationEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(encoding), zapcore.AddSync(queueWriter{l}), opts.Level)
	rateLimiter := zapcore.NewSamplerWithOptions(core, time.Second, opts.MaxPerSecond, 0,
		zapcore.SamplerHook(func(_ zapcore.Entry, decision zapcore.SamplingDecision) {
			if decision&zapcore.LogDropped != 0 {
				l.rateLimited.Add(1)
			}
		}))
	l.Logger = zap.New(rateLimiter).With(fields...)
	go l.writeLines(out)
	return l
}

// queueWriter appends lines to the queue and drops them if the queue is full.
type queueWriter struct{ log *Log }

// Write implements io.Writer. It never blocks.
func (w queueWriter) Write(line []byte) (int, error) {
	select {
	case w.log.queue <- append([]byte(nil), line...):
	default:
		w.log.queueFull.Add(1)
	}
	return len(line), nil
}

// Counts are the numbers of written and dropped lines since the start of the log.
type Counts struct {
	// Written is the number of written lines, Bytes their total size.
	Written, Bytes int64
	// RateLimited is the number of lines dropped by the limit of their event, QueueFull of those dropped because the queue
	// was full or the write failed.
	RateLimited, QueueFull int64
}

// Counts returns the current numbers.
func (l *Log) Counts() Counts {
	return Counts{Written: l.written.Load(), Bytes: l.bytes.Load(), RateLimited: l.rateLimited.Load(), QueueFull: l.queueFull.Load()}
}

// writeLines writes queued lines to out until the queue is closed and empty, and reports dropped lines at intervals.
func (l *Log) writeLines(out io.Writer) {
	defer close(l.done)
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	var reported Counts
	for {
		select {
		case line, ok := <-l.queue:
			if !ok {
				return
			}
			// A failed write cannot be reported in the log itself, so the line is only counted as dropped.
			if n, err := out.Write(line); err != nil {
				l.queueFull.Add(1)
			} else {
				l.written.Add(1)
				l.bytes.Add(int64(n))
			}
		case <-ticker.C:
			if c := l.Counts(); c.RateLimited != reported.RateLimited || c.QueueFull != reported.QueueFull {
				l.Warn(LinesDropped, zap.Int64("over_bound", c.RateLimited-reported.RateLimited),
					zap.Int64("queue_full", c.QueueFull-reported.QueueFull))
				reported = c
			}
		}
	}
}

// Close waits up to 200 ms until the queued lines are written. Nothing may be logged after Close is called: a write to the
// closed queue panics.
func (l *Log) Close() {
	close(l.queue)
	select {
	case <-l.done:
	case <-time.After(closeTimeout):
	}
}
