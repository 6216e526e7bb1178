// Package cli holds the commands of callers and operators. Each command is one
// call, or a few, to an entry host over HTTP; none keeps state besides the plan
// files that plan writes and confirm reads.
//
// Exit codes are stable, so that scripts can rely on them; see Exit.
package cli
