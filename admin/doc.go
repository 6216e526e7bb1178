// Package admin is what operators reach over HTTP: plan and confirm changes,
// see the whole fleet, and read why something happened. It holds the documents
// that are exchanged and their handlers; what they say comes from a Backend.
package admin
