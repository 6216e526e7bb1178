package fleet

import (
	"fmt"
	"time"

	"github.com/fireflyfold/fireflyfold/ident"
)

// absent describes an object that does not exist.
const absent = "absent"

// describeObject says in words how an object is configured.
func (s *State) describeObject(ref Ref) string {
	switch ref.Kind {
	case KindTeam:
		if team, ok := s.teams[ident.TeamID(ref.ID)]; ok {
			return fmt.Sprintf("share %d, limit %d units", team.Share, team.Limit)
		}
	case KindKey:
		if key, ok := s.keys[KeyID(ref.ID)]; ok {
			return key.words()
		}
	case KindService:
		if service, ok := s.svcs[ident.ServiceID(ref.ID)]; ok {
			return service.words()
		}
	case KindWorker, KindUpstream, KindHost:
		mark, ok := s.marks[ref]
		if !ok {
			return "no mark"
		}
		if mark.Reason == "" {
			return string(mark.Mode)
		}
		return fmt.Sprintf("%s (%s)", mark.Mode, mark.Reason)
	}
	return absent
}

func (k Key) words() string {
	if k.Until.IsZero() {
		return fmt.Sprintf("valid for team %s", k.Team)
	}
	return fmt.Sprintf("valid for team %s until %s", k.Team, wallTime(k.Until))
}

func (v Service) words() string {
	text := fmt.Sprintf("team %s, %d replicas of %s", v.Team, v.Replicas, v.Need)
	if v.RequestTimeout > 0 {
		text += fmt.Sprintf(", request timeout %v", v.RequestTimeout)
	}
	if v.Payload != "" {
		text += fmt.Sprintf(", payload of %d bytes", len(v.Payload))
	}
	return text
}

// wallTime renders a wall-clock time for people.
func wallTime(t time.Time) string { return t.UTC().Format("2006-01-02 15:04:05 UTC") }
