// Command scale measures proxies at scale: it runs one experiment at a time on this machine alone, shows the figures
// with their targets, and stores them as JSON.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kong"

	"baylock/internal/scale"
)

const exitFailed = 1

func main() {
	app := application{experiments: experiments, out: os.Stdout, errors: os.Stderr, stopTimeout: stopTimeout}
	os.Exit(app.main(os.Args[1:]))
}

// main runs one command and returns the exit code. It writes an error as one line.
func (a *application) main(args []string) int {
	if err := a.run(args); err != nil {
		fmt.Fprintln(a.errors, "scale: "+oneLine(err))
		return exitFailed
	}
	return 0
}

// oneLine returns an error's text as one line.
func oneLine(err error) string {
	lines := strings.FieldsFunc(err.Error(), func(r rune) bool { return r == '\n' || r == '\r' })
	return strings.Join(lines, "; ")
}

// application holds what all commands use.
type application struct {
	experiments []scale.Experiment
	out, errors io.Writer
	stopTimeout time.Duration // how long an experiment may take to return after its context has ended
}

// commandLine is the tool's command line.
type commandLine struct {
	Run    runCommand    `cmd:"" help:"Run one experiment, show its figures and store them."`
	List   listCommand   `cmd:"" help:"List the experiments."`
	Report reportCommand `cmd:"" help:"Show stored results."`
}

const description = "Measures proxies at scale on this machine alone. All traffic stays on loopback, and no process outlives a run."

func (a *application) run(args []string) error {
	var line commandLine
	parser, err := kong.New(&line, kong.Name("scale"), kong.Description(description), kong.Writers(a.out, a.errors),
		kong.Vars{"timeout": defaultTimeout.String(), "results": defaultFolder, "program": defaultProgram})
	if err != nil {
		return err
	}
	command, err := parser.Parse(args)
	if err != nil {
		return err
	}
	return command.Run(a)
}

// find returns the experiment with the given name.
func (a *application) find(name string) (scale.Experiment, error) {
	var names []string
	for _, experiment := range a.experiments {
		if experiment.Name == name {
			return experiment, nil
		}
		names = append(names, experiment.Name)
	}
	slices.Sort(names)
	return scale.Experiment{}, fmt.Errorf("unknown experiment %q; known experiments: %s", name, strings.Join(names, ", "))
}

type listCommand struct{}

// Run lists the experiments.
func (listCommand) Run(a *application) error {
	table := tabwriter.NewWriter(a.out, 0, 0, 2, ' ', 0)
	for _, experiment := range a.experiments {
		fmt.Fprintf(table, "%s\t%s\n", experiment.Name, experiment.Summary) // Flush returns write errors
	}
	return table.Flush()
}

type reportCommand struct {
	Files    []string `arg:"" optional:"" help:"Stored results; all of the folder's if none is named."`
	Out      string   `default:"${results}" help:"Folder of stored results."`
	Markdown bool     `help:"As Markdown."`
}

// Run shows stored results.
func (c reportCommand) Run(a *application) error {
	files := c.Files
	if len(files) == 0 {
		var err error
		if files, err = scale.StoredResults(c.Out); err != nil {
			return err
		}
		if len(files) == 0 {
			return errors.New("no stored results in " + c.Out)
		}
	}
	show := scale.WriteTable
	if c.Markdown {
		show = scale.WriteMarkdown
	}
	for i, file := range files {
		result, err := scale.ReadResult(file)
		if err != nil {
			return err
		}
		if i > 0 {
			fmt.Fprintln(a.out) // a write error shows again at the next write
		}
		if err := show(a.out, result); err != nil {
			return err
		}
	}
	return nil
}
