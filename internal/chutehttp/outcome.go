package chutehttp

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"

	"azurechute.example/azurechute/gen/requests"
	"azurechute.example/azurechute/internal/chuterequest"
)

// refusalOf words an outcome other than Answered; unready is the node's reason for not welcoming work, if any.
func refusalOf(outcome chuterequest.Outcome, unready error) *requests.Refusal {
	if outcome.Kind != chuterequest.OutcomeNotRun && outcome.Kind != chuterequest.OutcomeFailed {
		// An outcome of no known kind must not be told as safer than it is.
		outcome.Kind = chuterequest.OutcomeUnknown
	}

	refusal := refuse(codeOf(outcome, unready), outcome.Field, outcome.Value, outcome.Reason)
	kind := string(outcome.Kind)
	refusal.Outcome = &kind

	if outcome.Kind == chuterequest.OutcomeFailed {
		refusal.SafeToRepeat = &outcome.SafeToRepeat
	}

	return withRetryAfter(refusal, outcome.RetryAfter)
}

// codeOf picks the HTTP status of an outcome.
//
// A NotRun that names a field blames the input; as the form of a RequestID has
// been checked before, one that names RequestID is about its use, and one that
// names Pipeline about a pipeline that a newer configuration took out. Other NotRun
// are Overloaded where coming back helps and the node welcomes work, else
// Unavailable.
func codeOf(outcome chuterequest.Outcome, unready error) code {
	switch {
	case outcome.Kind == chuterequest.OutcomeFailed:
		return codeFailed
	case outcome.Kind != chuterequest.OutcomeNotRun:
		return codeUnknown
	case outcome.Field == "RequestID":
		return codeConflict
	case outcome.Field == "Pipeline":
		return codeNotFound
	case outcome.Field != "":
		return codeInvalid
	case unready == nil && outcome.RetryAfter > 0:
		return codeOverloaded
	}

	return codeUnavailable
}

// answerOf words an answer, or for a status query any outcome.
func answerOf(key chuterequest.Key, answer chuterequest.Answer) *requests.Answer {
	told := &requests.Answer{
		RequestID: key.RequestID,
		Outcome:   string(chuterequest.OutcomeAnswered),
		Output:    answer.Output,
	}

	if answer.Outcome.Kind == chuterequest.OutcomeAnswered {
		told.Length = &answer.Length
		told.Digest = &answer.Digest

		return told
	}

	refusal := refusalOf(answer.Outcome, nil)
	told.Outcome = *refusal.Outcome
	told.Problem = &refusal.Problem
	told.RetryAfterMilliseconds = refusal.RetryAfterMilliseconds
	told.SafeToRepeat = refusal.SafeToRepeat

	return told
}

// normalized writes Output the way encoding/json will send it, and restates its length and digest where that changed bytes.
//
// The encoder takes out spaces and escapes < > & in what it relays. A digest
// over the upstream's own bytes would then not match what the caller got, and a
// whole answer would look damaged. Text is digested decoded and needs nothing.
// Output that is no JSON would fail the encoder after the status was sent, and
// leave the caller with a 200 and no body; it is withdrawn here.
func normalized(answer chuterequest.Answer, unrepeatable bool) chuterequest.Answer {
	if len(answer.Output) == 0 {
		return answer
	}

	sent, err := json.Marshal(answer.Output)
	if err != nil {
		return withdrawn("the output is not JSON", unrepeatable)
	}

	if isText(sent) || bytes.Equal(sent, answer.Output) {
		return answer
	}

	digest := sha256.Sum256(sent)
	answer.Output = sent
	answer.Length = len(sent)
	answer.Digest = hex.EncodeToString(digest[:])

	return answer
}

// withdrawn replaces an answer that turned out not to be whole; what cannot be repeated may have run.
func withdrawn(reason string, unrepeatable bool) chuterequest.Answer {
	outcome := chuterequest.Outcome{Kind: chuterequest.OutcomeFailed, Reason: reason, SafeToRepeat: true}
	if unrepeatable {
		outcome = chuterequest.Outcome{Kind: chuterequest.OutcomeUnknown, Reason: reason}
	}

	return chuterequest.Answer{Outcome: outcome}
}

// isText reports whether the output is a JSON string.
func isText(output json.RawMessage) bool {
	trimmed := bytes.TrimLeft(output, " \t\r\n")

	return len(trimmed) > 0 && trimmed[0] == '"'
}
