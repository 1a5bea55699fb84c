package balancer

const (
	minHealth           = 0.05 // weight left to an outlier, for trials
	failureHealthFactor = 0.3  // health kept after a failure of the endpoint's own
	healthGain          = 0.25 // part of the lost health that a success restores; gain of the error rate
	outlierErrorRatio   = 2.0  // an endpoint is an outlier when it fails this many times as often as all
	errorRateGain       = 0.05 // of the running error rates over all endpoints
)

// endpointHealth is what failures leave of an endpoint's weight.
type endpointHealth struct {
	factor    float64 // of the weight, from minHealth to 1
	errorRate float64 // running fraction of failed calls
}

// record takes a result, failure being 0 or 1. It blames the endpoint for a failure, and returns true, where
// its error rate is over the usual one.
func (h *endpointHealth) record(failure, usualRate float64) (blamed bool) {
	h.errorRate += (failure - h.errorRate) * healthGain
	if failure == 0 {
		h.factor += (1 - h.factor) * healthGain
	} else if blamed = h.errorRate > usualRate; blamed {
		h.factor = max(minHealth, h.factor*failureHealthFactor)
	}
	return blamed
}

// outlierDetector finds endpoints that fail more often than the others.
type outlierDetector struct {
	errorRate float64 // running fraction of failed calls, over all endpoints
}

// record updates an endpoint's health and tells whether a failure is its own. A failure that its peers show
// as well comes from a deeper tier and counts against the concurrency limits; a failed connection is always
// the endpoint's own, even when a complete zone is lost. An error that was answered concerns its class
// only, silence the complete endpoint. Rejected costs no health: the limits answer to it, and the calls that
// the endpoint would have had must not crowd its peers.
func (d *outlierDetector) record(ep *endpoint, class *classState, status Status) (blamed bool) {
	failure := indicator(status != OK)
	d.errorRate += (failure - d.errorRate) * errorRateGain
	class.errorRate += (failure - class.errorRate) * errorRateGain
	if status == ConnectFailed {
		blamed = ep.overall.record(failure, 0)
	} else if status != Error && status != Rejected {
		blamed = ep.overall.record(failure, outlierErrorRatio*d.errorRate)
	}
	if status == Error || status == OK {
		blamed = ep.classHealth(class).record(failure, outlierErrorRatio*class.errorRate)
	}
	return blamed
}
