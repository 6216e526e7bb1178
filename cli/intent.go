package cli

import (
	"flag"
	"io"
	"strings"
	"time"

	"github.com/fireflyfold/fireflyfold/fleet"
	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/resource"
	"github.com/fireflyfold/fireflyfold/settings"
	"github.com/fireflyfold/fireflyfold/wanted"
)

// intentFlags are the flags of plan.
type intentFlags struct {
	file string

	team   string
	share  int64
	limit  int64
	remove bool

	giveKey     string
	rotateKey   string
	withdrawKey string
	overlap     time.Duration

	service  string
	replicas int
	cpu      int64
	memory   string
	accel    int64
	timeout  time.Duration
	payload  string

	drain   string
	cordon  string
	undrain string
	reason  string

	given func(name string) bool // whether a flag was set
}

// set declares the flags.
func (i *intentFlags) set(f *flag.FlagSet) {
	f.StringVar(&i.file, "file", "", "INI file of the wanted state")
	f.StringVar(&i.team, "team", "", "team to create or change; with --service, the service's team")
	f.Int64Var(&i.share, "share", 0, "the team's share")
	f.Int64Var(&i.limit, "limit", 0, "the team's upper limit, in units")
	f.BoolVar(&i.remove, "remove", false, "remove the team or the service")
	f.StringVar(&i.giveKey, "give-key", "", "team to give a new key to")
	f.StringVar(&i.rotateKey, "rotate-key", "", "identifier of a key to replace by a new one")
	f.DurationVar(&i.overlap, "overlap", 24*time.Hour, "how long the replaced key stays valid")
	f.StringVar(&i.withdrawKey, "withdraw-key", "", "identifier of a key to withdraw at once")
	f.StringVar(&i.service, "service", "", "service to declare or change")
	f.IntVar(&i.replicas, "replicas", 0, "the service's replicas in the whole fleet")
	f.Int64Var(&i.cpu, "milli-cpu", 0, "thousandths of a processor of each replica")
	f.StringVar(&i.memory, "memory", "0MiB", "memory of each replica, with its unit")
	f.Int64Var(&i.accel, "accelerators", 0, "accelerators of each replica")
	f.DurationVar(&i.timeout, "request-timeout", 0, "longest time of a request to the service")
	f.StringVar(&i.payload, "payload", "", "text handed to the service's workers")
	f.StringVar(&i.drain, "drain", "", "worker/NAME, upstream/NAME or host/NAME that takes nothing new and is emptied")
	f.StringVar(&i.cordon, "cordon", "", "worker/NAME, upstream/NAME or host/NAME that takes nothing new")
	f.StringVar(&i.undrain, "undrain", "", "worker/NAME, upstream/NAME or host/NAME whose mark is taken away")
	f.StringVar(&i.reason, "reason", "", "why, shown to other operators")
	i.given = func(name string) bool {
		found := false
		f.Visit(func(set *flag.Flag) { found = found || set.Name == name })
		return found
	}
}

// intent builds the intent of the flags. If a key is wanted, it is drawn from
// random and returned.
func (i *intentFlags) intent(random io.Reader) (fleet.Intent, string, error) {
	var intent fleet.Intent
	if i.file != "" {
		read, err := wanted.Load(i.file)
		if err != nil {
			return fleet.Intent{}, "", err
		}
		intent = read
	}
	switch {
	case i.service != "":
		want, err := i.wantService()
		if err != nil {
			return fleet.Intent{}, "", err
		}
		intent.Services = append(intent.Services, want)
	case i.team != "":
		intent.Teams = append(intent.Teams, i.wantTeam())
	}
	if err := i.marks(&intent); err != nil {
		return fleet.Intent{}, "", err
	}
	key, err := i.keys(&intent, random)
	if err != nil {
		return fleet.Intent{}, "", err
	}
	if len(intent.Teams)+len(intent.Keys)+len(intent.Services)+len(intent.Marks) == 0 {
		return fleet.Intent{}, "", &UsageError{Detail: "say what you want: --file, --team, --service, --give-key, --rotate-key, --withdraw-key, --drain, --cordon or --undrain"}
	}
	return intent, key, nil
}

func (i *intentFlags) wantTeam() fleet.WantTeam {
	want := fleet.WantTeam{Team: ident.TeamID(i.team), Absent: i.remove}
	if i.given("share") {
		want.Share = &i.share
	}
	if i.given("limit") {
		want.Limit = &i.limit
	}
	return want
}

func (i *intentFlags) wantService() (fleet.WantService, error) {
	want := fleet.WantService{Service: ident.ServiceID(i.service), Absent: i.remove}
	if i.team != "" {
		team := ident.TeamID(i.team)
		want.Team = &team
	}
	if i.given("replicas") {
		want.Replicas = &i.replicas
	}
	if i.given("request-timeout") {
		want.RequestTimeout = &i.timeout
	}
	if i.given("payload") {
		want.Payload = &i.payload
	}
	if i.given("milli-cpu") || i.given("memory") || i.given("accelerators") {
		memory, ok := settings.ParseMiB(i.memory)
		if !ok {
			return want, &UsageError{Detail: "--memory " + i.memory + ": whole MiB, such as 256MiB or 4GiB"}
		}
		want.Need = &resource.Vector{MilliCPU: i.cpu, MemoryMiB: memory, Accelerators: i.accel}
	}
	return want, nil
}

// marks adds the marks that are wanted.
func (i *intentFlags) marks(intent *fleet.Intent) error {
	for _, wish := range []struct {
		target string
		mode   fleet.Mode
	}{{i.drain, fleet.ModeDrain}, {i.cordon, fleet.ModeCordon}, {i.undrain, fleet.ModeNone}} {
		if wish.target == "" {
			continue
		}
		kind, name, found := strings.Cut(wish.target, "/")
		if !found {
			return &UsageError{Detail: wish.target + ": worker/NAME, upstream/NAME or host/NAME"}
		}
		target := fleet.Ref{Kind: fleet.ObjectKind(kind), ID: name}
		intent.Marks = append(intent.Marks, fleet.WantMark{Target: target, Mode: wish.mode, Reason: i.reason})
	}
	return nil
}

// keys adds what is wanted of keys, and returns the new key if there is one.
func (i *intentFlags) keys(intent *fleet.Intent, random io.Reader) (string, error) {
	if i.withdrawKey != "" {
		intent.Keys = append(intent.Keys, fleet.WantKey{Action: fleet.KeyWithdraw, Key: fleet.KeyID(i.withdrawKey)})
	}
	if i.giveKey != "" && i.rotateKey != "" {
		return "", &UsageError{Detail: "--give-key and --rotate-key: one new key at a time"}
	}
	if i.giveKey == "" && i.rotateKey == "" {
		return "", nil
	}
	key, id, hash, err := fleet.NewKey(random)
	if err != nil {
		return "", err
	}
	want := fleet.WantKey{Action: fleet.KeyGive, Team: ident.TeamID(i.giveKey), Key: id, Hash: hash}
	if i.rotateKey != "" {
		want = fleet.WantKey{Action: fleet.KeyRotate, Old: fleet.KeyID(i.rotateKey), Key: id, Hash: hash, Overlap: i.overlap}
	}
	intent.Keys = append(intent.Keys, want)
	return key, nil
}
