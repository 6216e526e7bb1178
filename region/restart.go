package region

import (
	"slices"
	"time"
)

const (
	// goodRun is how long a run of a task that lasts goes on before a crash that is no sign of
	// the task crashing its workers. Tasks that last are at work after a short startup.
	goodRun = 10 * time.Second
	// A task that lasts and crashes its workers is started again after minRestartPause, which
	// doubles with each further crash up to maxRestartPause: its users wait for it meanwhile.
	minRestartPause = 4 * time.Second
	maxRestartPause = 6 * time.Second
	// fewestConclusive is the fewest crashes that are conclusive: those without other jobs.
	fewestConclusive = (giveUpWeight + aloneWeight - 1) / aloneWeight
	// maxAcquittal is the longest time for which a run of a task that lasts goes on before its
	// crashes are forgotten.
	maxAcquittal = 10 * time.Minute
	// maxCrashesKept is how many crashes are kept of a task that lasts, which is not given up.
	maxCrashesKept = 8
)

// evidence returns the crashes that may show that the task crashes the workers that start it.
func (t *task) evidence() []*loss {
	crashes := t.suspicion.counted()
	if t.step.rec.LongRunning {
		crashes = slices.DeleteFunc(crashes, func(l *loss) bool { return l.ran >= goodRun })
	}
	return crashes
}

// crashesWorkers reports whether the crashes show that the task crashes the workers that start it.
func (t *task) crashesWorkers() bool { return conclusive(t.evidence()) }

// pausedUntil returns when a task that lasts and crashes its workers may be started again, or 0 if
// it may be at any time.
//
// The guard is against such a task that takes down one worker after another. Its job is not given
// up, as its tasks are to run until it is cancelled.
func (t *task) pausedUntil() time.Duration {
	if !t.step.rec.LongRunning || !t.suspected() {
		return 0
	}
	crashes := t.evidence()
	if !conclusive(crashes) {
		return 0
	}
	pause := minRestartPause << (len(crashes) - fewestConclusive)
	return crashes[len(crashes)-1].lostAt + min(pause, maxRestartPause)
}

// acquittal returns how long a run goes on that shows that its task does not crash workers.
func (t *task) acquittal() time.Duration {
	long := max(minAcquittal, 4*t.suspicion.longestRun())
	if t.step.rec.LongRunning {
		return min(long, maxAcquittal)
	}
	return long
}
