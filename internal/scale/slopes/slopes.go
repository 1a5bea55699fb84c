// Package slopes measures what control costs one real proxy as its list of backends grows: memory, processor time and
// bytes, idle and in use, at four sizes of the list, and the line through them.
package slopes

import (
	"context"
	"fmt"
	"time"

	"baylock/internal/scale"
)

// Experiment is the measurement.
var Experiment = scale.Experiment{
	Name:       "slopes",
	Summary:    "memory, processor time and bytes of one real proxy as its list grows, idle and in use",
	NeedsProxy: true,
	Run:        run,
}

// plan is how much is measured.
type plan struct {
	sizes      []int         // backends listed
	starts     int           // of the proxy, for the cost of a restart
	settle     time.Duration // of rest before a look at memory or an idle while
	idle       time.Duration
	rounds     int           // of the measures that follow
	changes    int           // single changes of the list
	changeGap  time.Duration // between two of them
	wholeLists int           // answers with the whole list
	warmUp     time.Duration // of calls before they are measured
	use        time.Duration // of calls that are measured
	rate       float64       // calls a second
}

func fullPlan() plan {
	return plan{sizes: []int{33, 100, 330, 970}, starts: 5, settle: 2 * time.Second, idle: 10 * time.Second, rounds: 4,
		changes: 50, changeGap: 20 * time.Millisecond, wholeLists: 20, warmUp: 2 * time.Second, use: 4 * time.Second,
		rate: 134}
}

func smallPlan() plan {
	return plan{sizes: []int{10, 100}, starts: 1, settle: 100 * time.Millisecond, idle: 500 * time.Millisecond, rounds: 1,
		changes: 10, changeGap: 5 * time.Millisecond, wholeLists: 3, warmUp: 100 * time.Millisecond,
		use: 500 * time.Millisecond, rate: 134}
}

// mode is a way in which the proxy gets its list.
type mode struct {
	name       string
	membership string
}

func modes() []mode { return []mode{{"pushed", scale.Pushed}, {"asked", scale.Polled}} }

func run(ctx context.Context, env scale.Env) (scale.Result, error) {
	p := fullPlan()
	if env.Small {
		p = smallPlan()
	}
	return scale.WithSeparateCores(env.Cores, func(cores []int) (scale.Result, error) { return measureOn(ctx, env, p, cores) })
}

// measureOn measures with the proxies on the given cores.
func measureOn(ctx context.Context, env scale.Env, p plan, cores []int) (result scale.Result, err error) {
	for _, m := range modes() {
		points, err := measureAll(ctx, env, p, m, cores)
		if err != nil {
			return result, fmt.Errorf("%s: %w", m.name, err)
		}
		figures, err := figuresOf(m, points)
		if err != nil {
			return result, err
		}
		result.Figures = append(result.Figures, figures...)
	}
	result.Notes = notes(p, cores, env.Cores)
	return result, nil
}

func notes(p plan, proxyCores, allCores []int) []string {
	list := []string{
		fmt.Sprintf("The proxies, one for each size and each told of 1 core, 192 MB and 1,024 descriptors, ran on core %v, "+
			"one in use at a time; the tool with discovery, clients and backends on the others of %v.", proxyCores, allCores),
		"Bytes are those of discovery's application, headers included, in both directions; TCP and IP come on top. " +
			"The stand-in's entries are as long as the real ones but for the type that these name.",
		fmt.Sprintf("Medians of %d starts, and of %d rounds over all sizes, each with %d single changes, %v apart (a backend "+
			"drains and comes back), %d whole lists, and %g calls/s (Poisson) for %v after %v of them. Idle was one while "+
			"of %v.", p.starts, p.rounds, p.changes, p.changeGap, p.wholeLists, p.rate, p.use, p.warmUp, p.idle),
		"Memory is all that is resident, the program's own pages and those for calls included: control is a part of it. " +
			"1 MB is a million bytes.",
		"All names on a list have the address of one server in the tool, which answers at once.",
	}
	if len(allCores) < 2 {
		list = append(list, "With one core the tool and the proxy shared it: the figures are disturbed.")
	}
	return list
}
