// Package ledger keeps the units of the teams' upper limits: who holds how
// many, in one stream of the platform's log that every host folds.
//
// A team whose limit is 100 has 100 units, held somewhere at every instant. A
// holder may run what fits its own units and asks nobody for that. Units move
// only by a record of the holder that gives them, appended after it stopped
// using them, so that no order of messages, losses or repeats lets two holders
// use one unit.
//
// Fold is the pure fold of the stream. Holder is the state machine of one host.
// Reclaimer decides when the units of a dead host may be taken over. All are
// deterministic and do no I/O: events in, commands out.
package ledger
