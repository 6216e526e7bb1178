// Package processes holds the tests that run the daemons as separate
// processes: the platform's stand-in and five entry hosts over four
// availability zones, joined by loopback TCP only. The tests kill, stop and
// wake the processes by signals, cut and slow their connections through the
// stand-in, and judge by the stand-in's audit of what really ran.
package processes
