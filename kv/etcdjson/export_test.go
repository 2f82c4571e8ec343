package etcdjson

import "time"

// SetSilence changes the time after which a silent watch ends.
func (c *Client) SetSilence(d time.Duration) { c.silence = d }
