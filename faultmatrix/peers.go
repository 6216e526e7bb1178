package faultmatrix

import (
	"github.com/fireflyfold/fireflyfold/engine"
	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/ledger"
	"github.com/fireflyfold/fireflyfold/member"
	"github.com/fireflyfold/fireflyfold/ports"
)

// carryPeer carries out what concerns peers, callers and the host itself.
func (h *host) carryPeer(cmd engine.Command) {
	switch cmd := cmd.(type) {
	case engine.SendDigest:
		h.sendDigest(cmd)
	case engine.ReadPeer:
		h.readPeer(cmd)
	case engine.AskUnits:
		h.peer(cmd, cmd.Peer.Host, func(p *host, answer func(any)) {
			p.step(engine.UnitsAsked{From: h.holder, Team: cmd.Team, Units: cmd.Units, Lack: cmd.Lack, Seq: cmd.Seq})
			answer(nil)
		}, func(any, error) {})
	case engine.AskPromise:
		h.askPromise(cmd)
	case engine.AskLeases:
		h.askLeases(cmd)
	case engine.AskAttempts:
		h.askAttempts(cmd)
	case engine.AttemptsReply:
		h.answered(cmd.Call, cmd)
	case engine.PromiseReply:
		h.answered(cmd.Call, cmd)
	case engine.LeasesReply:
		h.answered(cmd.Call, cmd.Leases)
	case engine.ConfigReply:
		h.answered(cmd.Call, cmd)
	default:
		h.carryCaller(cmd)
	}
}

// peer sends a call to a peer, or rather to whoever lives under its name. A
// dead host refuses connections.
func (h *host) peer(cmd engine.Command, id ident.HostID, serve func(*host, func(any)), done func(any, error)) {
	h.w.send(exchange{
		from: h, to: h.w.placeOfHost(id), step: stepOf(cmd), timeout: peerTimeout,
		serve: func(answer func(reply)) {
			p := h.w.live(id)
			if p == nil {
				answer(reply{err: &ports.NotSentError{Op: "peer", Cause: errNoAnswer}})
				return
			}
			p.wake(func() { serve(p, func(v any) { answer(reply{value: v}) }) })
		},
		done: func(r reply) { done(r.value, r.err) },
	})
}

// placeOfHost is the place of a host by its name.
func (w *World) placeOfHost(id ident.HostID) place {
	for _, h := range w.hosts {
		if h.id == id {
			return placeOf(h.zone)
		}
	}
	return placePlatform
}

func (h *host) sendDigest(cmd engine.SendDigest) {
	h.peer(cmd, cmd.Host, func(p *host, answer func(any)) {
		p.step(engine.DigestReceived{Digest: cmd.Digest})
		answer(p.eng.Digest())
	}, func(v any, err error) {
		if err != nil {
			h.step(engine.PeerFailed{Host: cmd.Host})
			return
		}
		h.step(engine.DigestReceived{Digest: v.(member.Digest)})
	})
}

func (h *host) readPeer(cmd engine.ReadPeer) {
	h.peer(cmd, cmd.Host, func(p *host, answer func(any)) {
		p.step(engine.ConfigAsked{Call: p.ask(answer), After: cmd.After})
	}, func(v any, err error) {
		got, _ := v.(engine.ConfigReply)
		h.step(engine.PeerConfig{Host: cmd.Host, Page: got.Page, State: got.State, Age: got.Age})
	})
}

func (h *host) askPromise(cmd engine.AskPromise) {
	h.peer(cmd, cmd.Host, func(p *host, answer func(any)) {
		p.step(engine.PromiseAsked{Call: p.ask(answer), From: cmd.From, Order: cmd.Order, Worker: cmd.Worker, Release: cmd.Release})
	}, func(v any, err error) {
		if reply, ok := v.(engine.PromiseReply); ok && err == nil && !cmd.Release {
			h.step(engine.PromiseAnswered{From: reply.From, Worker: cmd.Worker, Seq: cmd.Seq, Given: reply.Given})
		}
	})
}

func (h *host) askAttempts(cmd engine.AskAttempts) {
	h.peer(cmd, cmd.Host, func(p *host, answer func(any)) {
		p.step(engine.AttemptsAsked{Call: p.ask(answer), From: h.holder, Attempts: cmd.Attempts})
	}, func(v any, err error) {
		if reply, ok := v.(engine.AttemptsReply); ok && err == nil {
			h.step(engine.AttemptsAnswered{From: reply.From, Attempts: cmd.Attempts, States: reply.States})
		}
	})
}

func (h *host) askLeases(cmd engine.AskLeases) {
	h.peer(cmd, cmd.Host, func(p *host, answer func(any)) {
		p.step(engine.LeasesAsked{Call: p.ask(answer)})
	}, func(v any, err error) {
		if seen, ok := v.([]ledger.LeaseSeen); ok && err == nil {
			h.step(engine.LeasesAnswered{Host: cmd.Host, SentAt: cmd.SentAt, Leases: seen})
		}
	})
}
