package command

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/sirupsen/logrus"
)

// notifySignals registers the handlers of the signals that stop and reload a node. stop ends
// at the first SIGTERM or SIGINT; reloads receives each SIGHUP. SIGPIPE is ignored: a node
// serves on without a reader of its log.
//
// The handlers remain registered until the process exits. Without a handler, a signal ends
// the process at once, and with it the requests that a graceful shutdown is finishing.
func notifySignals() (stop context.Context, reloads <-chan os.Signal) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	// Otherwise the runtime ends the process at a write to a closed standard output or error.
	signal.Ignore(syscall.SIGPIPE)
	stop, _ = signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	return stop, hangups
}

// logReloads logs each reload. The settings are read only at startup; whatever changes while
// a node runs is part of the fleet's configuration.
func logReloads(reloads <-chan os.Signal, log logrus.FieldLogger) {
	for range reloads {
		log.Info("reload: settings take effect after a restart of the node")
	}
}
