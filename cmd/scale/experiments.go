package main

import (
	"baylock/internal/scale"
	"baylock/internal/scale/admission"
	"baylock/internal/scale/depth"
	"baylock/internal/scale/latency"
	"baylock/internal/scale/propagation"
	"baylock/internal/scale/ramp"
	"baylock/internal/scale/reload"
	"baylock/internal/scale/slopes"
)

// experiments contains all experiments, in the order in which the list command shows them.
var experiments = []scale.Experiment{
	slopes.Experiment,
	propagation.Experiment,
	reload.Experiment,
	depth.Experiment,
	latency.Experiment,
	ramp.Experiment,
	admission.Experiment,
}
