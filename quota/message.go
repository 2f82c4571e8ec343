package quota

import (
	"encoding/json"
	"errors"
	"math"
	"time"
)

// Message is the content of a datagram.
type Message struct {
	Asks   []Ask   `json:"a,omitempty"`
	Grants []Grant `json:"g,omitempty"`
	Pulls  []Pull  `json:"p,omitempty"`
	Gives  []Give  `json:"t,omitempty"`
}

// Ask is sent by a client to a pool.
type Ask struct {
	// Seq identifies the ask. Numbers start at a random one, so that a restarted daemon takes no answer to its predecessor.
	Seq     uint64 `json:"s"`
	Account string `json:"a"`
	// Need is the number of waiting requests, Extra the number of further permits that the client can use soon.
	Need  int `json:"n"`
	Extra int `json:"x,omitempty"`
	// Refused is the number of requests that the client has refused since its last ask for the account.
	Refused int `json:"r,omitempty"`
}

// Status is the result of an ask.
type Status string

const (
	// Granted asks got all permits that they need.
	Granted Status = "g"
	// Pending asks wait for tokens of other pools; another grant follows.
	Pending Status = "p"
	// Denied asks got fewer permits than they need, since the quota is used up.
	Denied Status = "d"
	// Unavailable means that the daemon holds no pool for the account.
	Unavailable Status = "u"
)

// Grant answers an ask.
type Grant struct {
	Seq     uint64 `json:"s"`
	Status  Status `json:"r"`
	Permits int    `json:"n,omitempty"`
	// If the ask was denied, its first request without a permit can be repeated after RetryMs, each further one IntervalMs later. The
	// client refuses requests without asking for HoldMs.
	RetryMs    int64 `json:"w,omitempty"`
	IntervalMs int64 `json:"i,omitempty"`
	HoldMs     int64 `json:"h,omitempty"`
}

// Pull is sent by a pool that is out of tokens to another pool.
type Pull struct {
	Seq     uint64 `json:"s"`
	Account string `json:"a"`
	// Need is the number of tokens for waiting requests, Extra the number that can be used soon.
	Need  float64 `json:"n,omitempty"`
	Extra float64 `json:"x,omitempty"`
}

// Give answers a pull. Its tokens have been deducted from the pool that sends it.
type Give struct {
	Seq    uint64  `json:"s"`
	Tokens float64 `json:"n,omitempty"`
	// Left is what the giving pool could still give, Demand the rate at which it is asked for permits itself, and Refused the number of
	// requests that it refused and that are expected to come back.
	Left    float64 `json:"l,omitempty"`
	Demand  float64 `json:"d,omitempty"`
	Refused float64 `json:"q,omitempty"`
}

// Envelope is a message with the host of its sender or recipient.
type Envelope struct {
	Host string
	Message
}

// maxEntries limits the entries of each kind in a datagram: with up to 100 bytes each, a datagram stays below the size from which links
// fragment it.
const maxEntries = 12

// Encode returns the datagrams of a message.
func (m *Message) Encode() ([][]byte, error) {
	var datagrams [][]byte
	for rest := *m; len(rest.Asks)+len(rest.Grants)+len(rest.Pulls)+len(rest.Gives) > 0; {
		var part Message
		free := maxEntries
		part.Asks, rest.Asks, free = cut(rest.Asks, free)
		part.Grants, rest.Grants, free = cut(rest.Grants, free)
		part.Pulls, rest.Pulls, free = cut(rest.Pulls, free)
		part.Gives, rest.Gives, _ = cut(rest.Gives, free)
		data, err := json.Marshal(part)
		if err != nil {
			return nil, err
		}
		datagrams = append(datagrams, data)
	}
	return datagrams, nil
}

// cut splits off up to free entries and returns how many more fit.
func cut[T any](entries []T, free int) (head, tail []T, left int) {
	n := min(free, len(entries))
	return entries[:n], entries[n:], free - n
}

// errTooManyEntries means that a datagram has more entries than Encode puts into one.
var errTooManyEntries = errors.New("the datagram has too many entries")

// DecodeMessage decodes a datagram.
func DecodeMessage(data []byte) (Message, error) {
	var m Message
	if err := json.Unmarshal(data, &m); err != nil {
		return Message{}, err
	}
	if len(m.Asks)+len(m.Grants)+len(m.Pulls)+len(m.Gives) > maxEntries {
		return Message{}, errTooManyEntries
	}
	return m, nil
}

// roundDown rounds a number of tokens down to thousandths, which keeps messages short.
func roundDown(tokens float64) float64 { return math.Floor(tokens*1000) / 1000 }

// milliseconds returns a duration in milliseconds, rounded up.
func milliseconds(d time.Duration) int64 {
	return int64(math.Ceil(float64(d) / float64(time.Millisecond)))
}
