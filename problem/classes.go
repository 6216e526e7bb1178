package problem

import "net/http"

// class is the status and title that all problems of one type have.
type class struct {
	status int
	title  string
}

var classes = map[Type]class{
	TypeMalformed:    {http.StatusBadRequest, "The request is malformed"},
	TypeTooLarge:     {http.StatusRequestEntityTooLarge, "The request is too large"},
	TypeUnauthorized: {http.StatusUnauthorized, "The key is missing or not valid"},
	TypeForbidden:    {http.StatusForbidden, "The key does not allow this"},
	TypeNotFound:     {http.StatusNotFound, "There is no such thing here"},
	TypeConflict:     {http.StatusConflict, "The idempotency key belongs to other work"},
	TypeRepeated:     {http.StatusConflict, "The idempotency key was used before"},
	TypeStalePlan:    {http.StatusConflict, "The plan is stale"},
	TypeRefused:      {http.StatusUnprocessableEntity, "The change cannot be made"},
	TypeNoFit:        {http.StatusUnprocessableEntity, "The work can never fit"},
	TypeOverLimit:    {http.StatusTooManyRequests, "The team is at its upper limit"},
	TypeBusy:         {http.StatusServiceUnavailable, "There is no room now"},
	TypeLogDown:      {http.StatusServiceUnavailable, "The platform's log cannot be reached"},
	TypeNotReady:     {http.StatusServiceUnavailable, "The host is not ready"},
	TypeStopping:     {http.StatusServiceUnavailable, "The host is stopping"},
	TypeDeadline:     {http.StatusGatewayTimeout, "The deadline passed"},
	TypeUpstream:     {http.StatusBadGateway, "The upstream failed"},
	TypeInternal:     {http.StatusInternalServerError, "The host failed"},
}
