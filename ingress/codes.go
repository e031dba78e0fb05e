package ingress

import (
	"net/http"

	"github.com/sesamelift/sesamelift/api"
)

var statusCodes = map[api.Reason]int{
	api.ReasonOK:                http.StatusOK,
	api.ReasonMalformed:         http.StatusBadRequest,
	api.ReasonTooManyTasks:      http.StatusBadRequest,
	api.ReasonKeyFromFuture:     http.StatusBadRequest,
	api.ReasonUnauthorized:      http.StatusUnauthorized,
	api.ReasonUnknownService:    http.StatusNotFound,
	api.ReasonUnknownKey:        http.StatusNotFound,
	api.ReasonKeyConflict:       http.StatusConflict,
	api.ReasonKeyExpired:        http.StatusGone,
	api.ReasonTooLarge:          http.StatusRequestEntityTooLarge,
	api.ReasonUnknownType:       http.StatusUnprocessableEntity,
	api.ReasonUnknownTeam:       http.StatusUnprocessableEntity,
	api.ReasonNoWorker:          http.StatusUnprocessableEntity,
	api.ReasonQuota:             http.StatusTooManyRequests,
	api.ReasonOverload:          http.StatusServiceUnavailable,
	api.ReasonDraining:          http.StatusServiceUnavailable,
	api.ReasonNotReady:          http.StatusServiceUnavailable,
	api.ReasonOwnerChange:       http.StatusServiceUnavailable,
	api.ReasonOwnerUnreachable:  http.StatusServiceUnavailable,
	api.ReasonDeadlinePast:      http.StatusGatewayTimeout,
	api.ReasonDeadlineExceeded:  http.StatusGatewayTimeout,
	api.ReasonCancelled:         http.StatusConflict,
	api.ReasonCancelledByCaller: http.StatusConflict,
	api.ReasonTaskFailed:        http.StatusBadGateway,
	api.ReasonTaskInDoubt:       http.StatusBadGateway,
	api.ReasonResultTooLarge:    http.StatusBadGateway,
	api.ReasonResultsDropped:    http.StatusBadGateway,
	api.ReasonInternal:          http.StatusInternalServerError,
}

// StatusCode returns the HTTP status code of an answer.
func StatusCode(a *api.Answer) int {
	if a.State == api.StateRunning {
		return http.StatusAccepted
	}
	if code, ok := statusCodes[a.Reason]; ok {
		return code
	}
	return http.StatusInternalServerError
}
