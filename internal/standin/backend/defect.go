package backend

import "time"

// Defect makes part of the responses bad, as those of a bad version are. The zero value has no effect.
type Defect struct {
	Share    float64       // probability with which a response that the other fields select is bad, 0 to 1
	Slowdown float64       // factor on the service times of bad responses; at 0 they fail with status 500
	After    time.Duration // time after the first request from which responses are bad
	Above    int           // number of running requests above which responses are bad
	Path     string        // the only path whose responses are bad; empty selects all
}

// applies reports whether the response to a request may be bad. running includes the request.
func (d Defect) applies(sinceFirst time.Duration, running int, path string) bool {
	return d.Share > 0 && sinceFirst >= d.After && running > d.Above && (d.Path == "" || d.Path == path)
}
