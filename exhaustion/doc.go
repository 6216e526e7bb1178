// Package exhaustion tests that clients which do not behave exhaust neither the memory nor the
// descriptors of an entry host: bodies and heads that never end, connections that are idle or not
// read, requests that decode to many times their size. The tests start the programs as processes of
// their own on loopback addresses. They check what does not depend on the machine's speed: that the
// process lives, that its memory and descriptors stay within its limits, and that a well-behaved
// caller is answered while the others keep their connections open.
//
// They run with the flag -exhaustion only, one at a time and apart from other load:
//
//	go test ./exhaustion -exhaustion
package exhaustion
