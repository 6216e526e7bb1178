package host

import (
	"context"
	"os"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/fireflyfold/fireflyfold/platform"
)

// settingsReadInterval is the interval between reads of the settings file. It detects
// changes that are not announced by a signal.
const settingsReadInterval = 2 * time.Second

// watchSettings rereads the settings on SIGHUP, which hangUps receives, and every settingsReadInterval, and
// logs whether they changed. The addresses of this process and of the platform stay in
// force until the next start, because listeners and connections depend on them.
func (h *Host) watchSettings(ctx context.Context, path string, hangUps <-chan os.Signal) {
	ticker := time.NewTicker(settingsReadInterval)
	defer ticker.Stop()
	current := h.settings
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return
		case <-hangUps:
			signalled = true
		case <-ticker.C:
		}
		next, err := platform.LoadSettings(path)
		if err != nil {
			h.log.WithError(err).Error("settings rejected; keeping the earlier ones")
			continue
		}
		if signalled || next != current {
			h.log.WithFields(logrus.Fields{"signal": signalled, "changed": next != current}).Info("settings read again")
			current = next
		}
	}
}
