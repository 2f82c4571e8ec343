package peer

import (
	"errors"

	"storj.io/drpc/drpcwire"
)

const (
	// maxFrameBytes limits the data of a frame. The protocol's writers split messages into frames of up to 64 KiB; its reader keeps the
	// buffer of the largest frame for as long as the connection is open.
	maxFrameBytes = 64 << 10
	// maxFrameHeaderBytes is the largest size of a frame's header: a control byte and three numbers of up to 10 bytes.
	maxFrameHeaderBytes = 1 + 3*10
)

// errFrame means that a peer does not follow the protocol.
var errFrame = errors.New("the frame is invalid or too large")

// frameTracker follows the frames that are received on a connection and measures the packets that they form.
type frameTracker struct {
	header []byte
	// frame is the current frame without its data, of which left bytes are missing.
	frame drpcwire.Frame
	left  uint64
	// packetBytes is the size of the current packet, including the announced rest of its current frame.
	packetBytes int64
}

// progress is what a part of the received bytes contains.
type progress struct {
	// largestPacket is the size of the largest packet of which the part contains a piece.
	largestPacket int64
	// startsCall is set if a call begins, hasMessage if a message ends.
	startsCall, hasMessage bool
}

// advance reads received bytes. After an error, the connection cannot be used any more.
func (f *frameTracker) advance(data []byte) (p progress, err error) {
	for len(data) > 0 {
		if f.left > 0 {
			n := min(f.left, uint64(len(data)))
			f.left -= n
			data = data[n:]
		} else {
			f.header = append(f.header, data[0])
			data = data[1:]
			isComplete, err := f.readHeader(&p)
			if err != nil {
				return p, err
			}
			if !isComplete {
				continue
			}
		}
		if f.left == 0 && f.frame.Done && f.frame.Kind == drpcwire.KindMessage {
			p.hasMessage = true
		}
	}
	return p, nil
}

// readHeader reads the header of a frame, if it is complete, and starts the frame.
func (f *frameTracker) readHeader(p *progress) (isComplete bool, err error) {
	frame, length, isComplete, err := parseFrameHeader(f.header)
	switch {
	case err != nil, !isComplete && len(f.header) >= maxFrameHeaderBytes, length > maxFrameBytes:
		return false, errFrame
	case !isComplete:
		return false, nil
	}
	f.header = f.header[:0]
	if frame.ID != f.frame.ID {
		f.packetBytes = 0
		p.startsCall = p.startsCall || frame.ID.Stream != f.frame.ID.Stream
	}
	f.frame, f.left = frame, length
	f.packetBytes += int64(length)
	p.largestPacket = max(p.largestPacket, f.packetBytes)
	return true, nil
}

// parseFrameHeader decodes a frame's header, which it may not contain completely, and returns the length of the frame's data.
func parseFrameHeader(header []byte) (frame drpcwire.Frame, length uint64, isComplete bool, err error) {
	const (
		doneBit  = 0b00000001
		kindBits = 0b01111110
	)
	rest, control := header[1:], header[0]
	frame.Done = control&doneBit != 0
	frame.Kind = drpcwire.Kind(control & kindBits >> 1)
	for _, number := range []*uint64{&frame.ID.Stream, &frame.ID.Message, &length} {
		if rest, *number, isComplete, err = drpcwire.ReadVarint(rest); !isComplete || err != nil {
			return frame, 0, false, err
		}
	}
	return frame, length, true, nil
}
