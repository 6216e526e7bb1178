package host

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/fireflyfold/fireflyfold/platform"
)

// settingsEvery is how often the settings file is read, for a change that no
// signal announces.
const settingsEvery = 2 * time.Second

// watchSettings reads the settings again on SIGHUP and from time to time.
// Addresses of this process and of the platform hold until the next start, as
// connections and listeners stand on them; a change of theirs is logged.
func (h *Host) watchSettings(ctx context.Context, path string) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	ticker := time.NewTicker(settingsEvery)
	defer ticker.Stop()
	known := h.settings
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return
		case <-hup:
			signalled = true
		case <-ticker.C:
		}
		next, err := platform.LoadSettings(path)
		if err != nil {
			h.log.WithError(err).Error("settings rejected; the earlier ones hold")
			continue
		}
		if signalled || next != known {
			h.log.WithFields(logrus.Fields{"signal": signalled, "changed": next != known}).Info("settings read again")
			known = next
		}
	}
}
