package chutehttp

import (
	"context"
	"slices"
	"time"

	"azurechute.example/azurechute/gen/requests"
	"azurechute.example/azurechute/internal/chuterequest"
	"goa.design/goa/v3/security"
)

// requestService implements the service Requests of the design.
type requestService struct {
	f *Frontend
}

// JWTAuth looks the token up; the methods check that its workspace is the one they concern.
func (s *requestService) JWTAuth(ctx context.Context, token string, _ *security.JWTScheme) (context.Context, error) {
	x := exchangeOf(ctx)

	if x.view == nil {
		x.view = s.f.views.get()
	}

	if x.view == nil {
		return ctx, s.refusal(ctx, unconfigured())
	}

	x.owners = x.view.workspaces.owners(token)
	if len(x.owners) == 0 {
		return ctx, s.refusal(ctx, refuse(codeUnauthorized, "Authorization", "", "the token is not known as a workspace's"))
	}

	x.step = stepAuthorize

	return ctx, nil
}

// refusal states the outcome NotRun where the call is a submission.
func (s *requestService) refusal(ctx context.Context, refusal *requests.Refusal) *requests.Refusal {
	if isSubmit(ctx) {
		return notRun(refusal)
	}

	return refusal
}

// Submit runs one request; goa passes a stream that drops its frames where the caller did not ask for one.
func (s *requestService) Submit(ctx context.Context, p *requests.SubmitPayload, stream requests.SubmitServerStream) (*requests.Answer, error) {
	x := exchangeOf(ctx)

	submission, refusal := checkSubmission(x, p)
	if refusal != nil {
		return nil, notRun(refusal)
	}

	x.step = stepChecked

	if wantsStream(ctx) {
		return nil, s.stream(ctx, x, submission, stream)
	}

	answer := normalized(s.f.backend.Submit(ctx, submission, nil), x.unrepeatable)
	x.finish(answer)

	if answer.Outcome.Kind != chuterequest.OutcomeAnswered {
		return nil, refusalOf(answer.Outcome, s.f.backend.Ready())
	}

	return answerOf(submission.Key, answer), nil
}

// Status tells what became of an unrepeatable request of the token's own workspace.
func (s *requestService) Status(ctx context.Context, p *requests.StatusPayload) (*requests.Answer, error) {
	x := exchangeOf(ctx)
	key := chuterequest.Key{Workspace: p.Workspace, RequestID: p.RequestID}

	if refusal := checkKey(x, key); refusal != nil {
		return nil, refusal
	}

	x.key, x.step = key, stepChecked

	answer, known, err := s.f.backend.Status(ctx, key)
	if err != nil {
		s.f.log.Warn().Err(err).Str("Request", key.String()).Msg("status of a request could not be read")

		return nil, withRetryAfter(refuse(codeUnavailable, "", "", "what became of the request cannot be read now; ask again"), statusRetryAfter)
	}

	if !known {
		return nil, refuse(codeNotFound, "RequestID", p.RequestID, "no unrepeatable request of this id is recorded; one still on its way would not be either")
	}

	answer = normalized(answer, true)
	x.finish(answer)

	return answerOf(key, answer), nil
}

// statusRetryAfter is when to ask again for a status that could not be read.
const statusRetryAfter = time.Second

// finish notes the end for the access log and the counters.
func (x *exchange) finish(answer chuterequest.Answer) {
	x.step = stepFinished
	x.outcome = answer.Outcome.Kind
}

// checkKey refuses a foreign workspace before anything about its requests is looked up.
func checkKey(x *exchange, key chuterequest.Key) *requests.Refusal {
	if !slices.Contains(x.owners, key.Workspace) {
		return refuse(codeForbidden, "Workspace", key.Workspace, "the token is not this workspace's")
	}

	if !validRequestID(key.RequestID) {
		return refuse(codeInvalid, "RequestID", key.RequestID, "must be 1 to 128 of A-Z a-z 0-9 . _ -")
	}

	return nil
}
