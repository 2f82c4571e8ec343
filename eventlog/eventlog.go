// Package eventlog writes the structured log of a daemon without ever blocking it: lines are bounded per event and
// second, and wait in a bounded queue for the writer. What is dropped is counted and reported.
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
	// DefaultPerSecond bounds the lines of one event in a second. With about 20 events that can repeat, a daemon writes at
	// most about 400 lines a second, and a few in calm times.
	DefaultPerSecond = 20
	// DefaultQueue is the number of lines that wait for the writer, about a second of the bound above.
	DefaultQueue = 512
	// reportInterval is the time between two reports of dropped lines.
	reportInterval = 5 * time.Second
	// drainTimeout bounds the wait for queued lines at the end of the process.
	drainTimeout = 200 * time.Millisecond
)

// Options are the bounds of a log; zero values take the defaults.
type Options struct {
	Level     zapcore.Level
	PerSecond int
	Queue     int
}

// Log is a running log. It is safe for concurrent use.
type Log struct {
	*zap.Logger
	queue chan []byte
	done  chan struct{}
	// sampled counts lines over the bound of their event, full those that met a full queue.
	sampled, full, written, bytes atomic.Int64
}

// New starts a log that writes JSON lines to out. The fields are added to each line. Close ends it.
func New(out io.Writer, opts Options, fields ...zap.Field) *Log {
	if opts.PerSecond == 0 {
		opts.PerSecond = DefaultPerSecond
	}
	if opts.Queue == 0 {
		opts.Queue = DefaultQueue
	}
	l := &Log{queue: make(chan []byte, opts.Queue), done: make(chan struct{})}
	encoding := zap.NewProductionEncoderConfig()
	encoding.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	encoding.EncodeDuration = zapcore.MillisDurationEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(encoding), zapcore.AddSync(queueWriter{l}), opts.Level)
	sampler := zapcore.NewSamplerWithOptions(core, time.Second, opts.PerSecond, 0,
		zapcore.SamplerHook(func(_ zapcore.Entry, decision zapcore.SamplingDecision) {
			if decision&zapcore.LogDropped != 0 {
				l.sampled.Add(1)
			}
		}))
	l.Logger = zap.New(sampler).With(fields...)
	go l.write(out)
	return l
}

// queueWriter hands lines to the queue and drops them when it is full.
type queueWriter struct{ log *Log }

// Write implements io.Writer. It never blocks.
func (w queueWriter) Write(line []byte) (int, error) {
	select {
	case w.log.queue <- append([]byte(nil), line...):
	default:
		w.log.full.Add(1)
	}
	return len(line), nil
}

// Counts are the numbers of lines so far.
type Counts struct {
	// Written is the number of written lines, Bytes their size.
	Written, Bytes int64
	// Sampled lines were over the bound of their event, Full ones met a full queue.
	Sampled, Full int64
}

// Counts returns the numbers so far.
func (l *Log) Counts() Counts {
	return Counts{Written: l.written.Load(), Bytes: l.bytes.Load(), Sampled: l.sampled.Load(), Full: l.full.Load()}
}

func (l *Log) write(out io.Writer) {
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
			// A failed write has nowhere to be reported; the line counts as dropped.
			if n, err := out.Write(line); err != nil {
				l.full.Add(1)
			} else {
				l.written.Add(1)
				l.bytes.Add(int64(n))
			}
		case <-ticker.C:
			if c := l.Counts(); c.Sampled != reported.Sampled || c.Full != reported.Full {
				l.Warn(LinesDropped, zap.Int64("over_bound", c.Sampled-reported.Sampled),
					zap.Int64("queue_full", c.Full-reported.Full))
				reported = c
			}
		}
	}
}

// Close writes the queued lines for a short time and ends the log. Nothing may be logged afterwards.
func (l *Log) Close() {
	close(l.queue)
	select {
	case <-l.done:
	case <-time.After(drainTimeout):
	}
}
