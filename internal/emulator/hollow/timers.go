package hollow

// due is what a timer of the loop is for: a token of the module's, the final end of a request, or the next drawn call.
type due struct {
	kind    timerKind
	token   string   // of a moduleTimer
	request *request // of a requestExpiry
}

type timerKind uint8

const (
	moduleTimer timerKind = iota
	requestExpiry
	drawnCall
)
