package measure

import (
	"encoding/binary"
	"hash"
	"math"
	"time"

	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/queue"
	"github.com/fireflyfold/fireflyfold/resource"
)

// tally counts what a replay did.
type tally struct {
	steps     int
	assigned  int
	displaced int
	spent     time.Duration // in Step
	digest    hash.Hash64   // of all commands
	line      []byte        // scratch
}

// note adds a command to the digest.
func (t *tally) note(now time.Duration, id ident.AttemptID, what string) {
	t.line = t.line[:0]
	for _, n := range [...]uint64{uint64(now), id.Job.Seq, uint64(id.Index), uint64(id.Attempt)} {
		t.line = binary.BigEndian.AppendUint64(t.line, n)
	}
	t.line = append(t.line, what...)
	_, _ = t.digest.Write(t.line)
}

// gauges integrates over time how much of the zone is reserved, how much could
// be, and how far teams are from their shares.
type gauges struct {
	total   resource.Vector
	used    resource.Vector
	waiting resource.Vector // needs of the tasks that wait
	teams   map[ident.TeamID]*teamGauge
	at      time.Duration

	busy      time.Duration // some resource is wanted more than it exists
	reserved  float64       // share of the scarcest resource times seconds, while busy
	bound     float64       // the most that it could be
	contended time.Duration // busy, with work of at least two teams waiting
	deviation float64       // of the furthest team from its share, times seconds
}

type teamGauge struct {
	used    resource.Vector
	needs   resource.Vector // of the tasks that wait
	waiting int
}

func (g *gauges) team(id ident.TeamID) *teamGauge {
	if g.teams == nil {
		g.teams = map[ident.TeamID]*teamGauge{}
	}
	if g.teams[id] == nil {
		g.teams[id] = &teamGauge{}
	}
	return g.teams[id]
}

// wait counts tasks of a job that begin (or, if negative, cease) to wait.
func (g *gauges) wait(r *replay, i, tasks int) {
	g.advance(r)
	j := &r.jobs[i]
	tasks = max(tasks, -j.waits)
	j.waits += tasks
	needs := j.Spec.Need.Times(int64(tasks))
	g.waiting = g.waiting.Add(needs)
	team := g.team(j.Spec.Team)
	team.needs = team.needs.Add(needs)
	team.waiting += tasks
}

func (g *gauges) use(j *jobRecord, need resource.Vector) {
	g.used = g.used.Add(need)
	team := g.team(j.Spec.Team)
	team.used = team.used.Add(need)
}

// advance integrates up to now.
func (g *gauges) advance(r *replay) {
	span := r.now - g.at
	if span <= 0 {
		return
	}
	g.at = r.now
	wanted := g.used.Add(g.waiting).Dominant(g.total)
	if wanted < 1 {
		return
	}
	g.busy += span
	g.reserved += g.used.Dominant(g.total) * span.Seconds()
	g.bound += span.Seconds()
	if deviation, ok := g.furthest(r); ok {
		g.contended += span
		g.deviation += deviation * span.Seconds()
	}
}

// furthest returns how far the furthest team is from its fair share of what
// all teams use together. It reports false unless two teams have work waiting.
func (g *gauges) furthest(r *replay) (float64, bool) {
	list := make([]queue.Demand, 0, len(r.trace.Teams))
	waiting := 0
	for _, team := range r.trace.Teams {
		t := g.team(team.ID)
		if t.waiting > 0 {
			waiting++
		}
		list = append(list, queue.Demand{
			Weight: team.Weight,
			Used:   t.used.Dominant(g.total),
			Wants:  t.used.Add(t.needs).Dominant(g.total),
		})
	}
	if waiting < 2 {
		return 0, false
	}
	queue.SetFairShares(list)
	furthest := 0.0
	for _, t := range list {
		furthest = max(furthest, math.Abs(t.Used-t.FairShare))
	}
	return furthest, true
}
