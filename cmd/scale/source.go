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
	changedSuffix  = "+changes" // of a commit with uncommitted changes
)

// findProxy returns the path of the real proxy's program: the given one, else the default in the working folder or at
// the top of the repository. It is empty if none is given and there is none.
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

// sources are the commits of the programs of a run, when it begins.
type sources struct {
	proxy string // of the real proxy's program
	tool  string
}

// findSources reads the build information of both programs. Without a commit in it, as after go run or in a linked
// worktree, the commit is that of the working folder.
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
	if err != nil { // not a Go program
		return found
	}
	if found.proxy = stampedCommit(info); found.proxy == "" {
		found.proxy = working()
	}
	return found
}

// of returns the commit of the program that a result was measured on.
func (s sources) of(result scale.Result) string {
	isReal := func(f scale.Figure) bool { return f.Source == scale.RealProxy }
	if slices.ContainsFunc(result.Figures, isReal) {
		return s.proxy
	}
	return s.tool
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

// workingCommit returns the commit of the working folder, according to git.
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
