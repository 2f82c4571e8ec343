package eventlog

import (
	"bytes"
	"log"

	"go.uber.org/zap"
)

// maxLibraryMessageBytes limits the text of a line from package log in bytes. net/http quotes up to 4 KiB of a replica's
// response in it.
const maxLibraryMessageBytes = 160

// RedirectStandardLog writes the lines of package log, which libraries use, as LibraryMessage events. They share the limit
// of that event, since their texts differ from line to line. The returned function restores the output of package log.
func (l *Log) RedirectStandardLog() (restore func()) {
	flags, out := log.Flags(), log.Writer()
	log.SetFlags(0)
	log.SetOutput(standardLogWriter{l.Logger})
	return func() {
		log.SetFlags(flags)
		log.SetOutput(out)
	}
}

// standardLogWriter logs each line that is written to it.
type standardLogWriter struct{ logger *zap.Logger }

// Write implements io.Writer.
func (w standardLogWriter) Write(line []byte) (int, error) {
	text := bytes.TrimSpace(line)
	w.logger.Info(LibraryMessage, zap.ByteString("text", text[:min(maxLibraryMessageBytes, len(text))]))
	return len(line), nil
}
