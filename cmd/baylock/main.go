// Command baylock is a load balancer: it forwards the requests of clients to the backends of one service.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"sync"
	"syscall"

	"baylock/internal/config"
	"baylock/internal/proxy"
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintf(os.Stderr, "baylock: %v\n", err)
		os.Exit(1)
	}
}

// run serves until SIGTERM or SIGINT, and reloads the configuration at each SIGHUP.
func run() error {
	// The signal handlers are installed first and stay until the end. Without a handler, SIGHUP or SIGTERM would kill the
	// process together with its open requests.
	reloads := make(chan os.Signal, 1) // one pending reload is enough, as the file is read after the signal
	signal.Notify(reloads, syscall.SIGHUP)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	log := slog.New(slog.NewTextHandler(os.Stderr, nil))
	cfg, err := config.Load(os.Getenv)
	if err != nil {
		return fmt.Errorf("cannot load the configuration: %w", err)
	}
	p, err := proxy.New(cfg, log)
	if err != nil {
		return err
	}
	var reloader sync.WaitGroup
	defer reloader.Wait()
	ended := make(chan struct{})
	defer close(ended)
	reloader.Go(func() {
		for {
			select {
			case <-reloads:
				reload(os.Getenv, p.Reload, log)
			case <-ended:
				return
			}
		}
	})
	return p.Run(ctx)
}

// reload loads the configuration and passes it to apply. If either fails, reload logs the error, and the old configuration
// stays in force.
func reload(getenv func(string) string, apply func(config.Config) error, log *slog.Logger) {
	cfg, err := config.Load(getenv)
	if err == nil {
		err = apply(cfg)
	}
	if err != nil {
		log.Error("new configuration not taken", "error", err)
	}
}
