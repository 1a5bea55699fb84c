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
	changedSuffix  = "+changes" // appended to a commit if there were uncommitted changes
)

// findProxy returns the path of the real proxy's program. If none is given, it looks for the default path in the
// working directory and its parents, up to the top of the repository, and returns an empty path if there is no such
// program.
func findProxy(given string) (string, error) {
	if given != "" {
		if !isProgram(given) {
			return "", fmt.Errorf("--proxy %s: no such program; build it with: %s", given, scale.BuildCommand)
		}
		return filepath.Abs(given)
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
	const executable = 0o111
	return err == nil && info.Mode().IsRegular() && info.Mode()&executable != 0
}

// programCommits holds the commits from which the programs of a run were built, as read when the run begins.
type programCommits struct {
	proxy string // of the real proxy's program
	tool  string // of the scale tool
}

// readProgramCommits reads the commits from the build information of both programs. If a program's build information
// has none, as after go run or a build in a linked worktree, the commit is that of the working directory.
func readProgramCommits(program string) programCommits {
	working := sync.OnceValue(workingCommit)
	own, _ := debug.ReadBuildInfo()
	commits := programCommits{tool: stampedCommit(own)}
	if commits.tool == "" {
		commits.tool = working()
	}
	if program == "" {
		return commits
	}
	info, err := buildinfo.ReadFile(program)
	if err != nil { // not a Go program
		return commits
	}
	if commits.proxy = stampedCommit(info); commits.proxy == "" {
		commits.proxy = working()
	}
	return commits
}

// forResult returns the commit of the program that a result was measured on.
func (c programCommits) forResult(result scale.Result) string {
	isReal := func(f scale.Figure) bool { return f.Source == scale.RealProxy }
	if slices.ContainsFunc(result.Figures, isReal) {
		return c.proxy
	}
	return c.tool
}

// stampedCommit returns the commit in a program's build information; empty if there is none.
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

// workingCommit returns the commit of the working directory according to git; empty if that is unknown.
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
