package main

import (
	"debug/buildinfo"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"runtime/debug"
	"slices"
	"strings"
	"sync"

	"baylock/internal/scale"
)

const (
	defaultProgram = "bin/baylock"
	changedSuffix  = "+changes"
)

// findProxy gives the path of the real proxy's program: the one that was asked for, or the default in the working
// folder or at the top of the repository. It is empty if none was asked for and there is none.
func findProxy(asked string) (string, error) {
	if asked != "" {
		if !isProgram(asked) {
			return "", fmt.Errorf("--proxy %s: no such program; build it with: %s", asked, scale.BuildCommand)
		}
		return filepath.Abs(asked)
	}
	folder, err := os.Getwd()
	if err != nil {
		return "", err
	}
	for {
		if path := filepath.Join(folder, defaultProgram); isProgram(path) {
			return path, nil
		}
		parent := filepath.Dir(folder)
		if _, err := os.Stat(filepath.Join(folder, "go.mod")); err == nil || parent == folder {
			return "", nil
		}
		folder = parent
	}
}

func isProgram(path string) bool {
	info, err := os.Stat(path)
	const anyone = 0o111
	return err == nil && info.Mode().IsRegular() && info.Mode()&anyone != 0
}

// sources are the commits of what a run can measure, as they are when it begins.
type sources struct {
	proxy string // of the real proxy's program
	tool  string
}

// findSources reads the stamps of the go command in both programs. Where one bears none, as after go run or in a linked
// worktree, its commit is that of the working folder.
func findSources(program string) sources {
	working := sync.OnceValue(workingCommit)
	own, _ := debug.ReadBuildInfo()
	found := sources{tool: stampedCommit(own)}
	if found.tool == "" {
		found.tool = working()
	}
	if program == "" {
		return found
	}
	info, err := buildinfo.ReadFile(program)
	if err != nil { // no program of Go
		return found
	}
	if found.proxy = stampedCommit(info); found.proxy == "" {
		found.proxy = working()
	}
	return found
}

// of names the commit of what a result was measured on.
func (s sources) of(result scale.Result) string {
	isReal := func(f scale.Figure) bool { return f.Source == scale.RealProxy }
	if slices.ContainsFunc(result.Figures, isReal) {
		return s.proxy
	}
	return s.tool
}

// stampedCommit reads the commit that the go command has put in a program; empty if there is none.
func stampedCommit(info *debug.BuildInfo) string {
	if info == nil {
		return ""
	}
	commit, changed := "", ""
	for _, setting := range info.Settings {
		switch {
		case setting.Key == "vcs.revision":
			commit = setting.Value
		case setting.Key == "vcs.modified" && setting.Value == "true":
			changed = changedSuffix
		}
	}
	if commit == "" {
		return ""
	}
	return commit + changed
}

// workingCommit asks git for the commit of the working folder.
func workingCommit() string {
	commit, err := exec.Command("git", "rev-parse", "HEAD").Output()
	if err != nil { // no repository, or no git
		return ""
	}
	changes, err := exec.Command("git", "status", "--porcelain").Output()
	if err != nil || len(changes) > 0 {
		return strings.TrimSpace(string(commit)) + changedSuffix
	}
	return strings.TrimSpace(string(commit))
}
