package etcdjson

import "time"

// SetSilence changes the time after which a silent watch ends.
func (c *Client) SetSilence(d time.Duration) { c.silence = d }

// SetProgress changes the silence after which a watch asks the store about changes.
func (c *Client) SetProgress(d time.Duration) { c.progress = d }
