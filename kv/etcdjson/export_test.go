package etcdjson

import "time"

// SetSilenceTimeout sets the time without a message or an empty poll after which a watch ends.
func (c *Client) SetSilenceTimeout(d time.Duration) { c.silenceTimeout = d }

// SetProgressInterval sets the time without a message after which a watch polls the store for changes.
func (c *Client) SetProgressInterval(d time.Duration) { c.progressInterval = d }
