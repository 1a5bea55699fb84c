package hollow

// timerEvent is what happens when a timer of the loop fires.
type timerEvent struct {
	kind    timerKind
	token   string   // of a balancerTimer
	request *request // of a requestExpiryTimer
}

type timerKind uint8

const (
	balancerTimer      timerKind = iota // the balancer asked for it
	requestExpiryTimer                  // a request is still open some time after its deadline
	nextCallTimer                       // the next generated call is due
)
