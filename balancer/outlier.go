package balancer

const (
	minHealth           = 0.05 // weight left to an outlier, for trials
	failureHealthFactor = 0.3  // part of the health that a failure of the endpoint's own leaves
	healthGain          = 0.25 // part of the lost health that a success restores; gain of the error rate
	outlierErrorRatio   = 2.0  // an endpoint is an outlier when it fails this many times as often as all
	errorRateGain       = 0.05 // of the running error rates over all endpoints
)

// endpointHealth is what failures leave of an endpoint's weight.
type endpointHealth struct {
	factor    float64 // of the weight, from minHealth to 1
	errorRate float64 // running fraction of failed calls
}

// record takes a result, failure being 0 or 1. Where the error rate is over the usual one, a failure costs
// health, and record returns true: it is the endpoint's own.
func (h *endpointHealth) record(failure, usualRate float64) (ownFault bool) {
	h.errorRate += (failure - h.errorRate) * healthGain
	if failure == 0 {
		h.factor += (1 - h.factor) * healthGain
	} else if ownFault = h.errorRate > usualRate; ownFault {
		h.factor = max(minHealth, h.factor*failureHealthFactor)
	}
	return ownFault
}

// outlierDetector finds endpoints that fail more often than the others.
type outlierDetector struct {
	errorRate float64 // running fraction of failed calls, over all endpoints
}

// record updates an endpoint's health and reports whether a failure is its own. A failure that its peers show
// as well comes from a deeper tier and counts against the concurrency limits; a failed connection is always
// the endpoint's own, even when a complete zone is lost. An error that was answered concerns its class
// only, a missing answer all classes. Rejected costs no health: the limits answer to it, and the calls that
// the endpoint would have had must not crowd its peers.
func (d *outlierDetector) record(ep *endpoint, class *classState, status Status) (ownFault bool) {
	failure := indicator(status != OK)
	d.errorRate += (failure - d.errorRate) * errorRateGain
	class.errorRate += (failure - class.errorRate) * errorRateGain
	if status == ConnectFailed {
		ownFault = ep.overall.record(failure, 0)
	} else if status != Error && status != Rejected {
		ownFault = ep.overall.record(failure, outlierErrorRatio*d.errorRate)
	}
	if status == Error || status == OK {
		ownFault = ep.classHealth(class).record(failure, outlierErrorRatio*class.errorRate)
	}
	return ownFault
}
