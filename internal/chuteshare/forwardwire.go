package chuteshare

import (
	"net/http"
	"time"

	"azurechute.example/azurechute/internal/chuteshare/chutesharepb"
)

// encodeForward converts a forwarded request to its message.
func encodeForward(r ForwardRequest) *chutesharepb.ForwardRequest {
	message := &chutesharepb.ForwardRequest{
		Id: r.ID, Host: r.Host, Method: r.Method, Uri: r.URI, Path: r.Path, Header: encodeHeader(r.Header), Body: r.Body, Key: r.Key,
		WaitMs: r.Wait.Milliseconds(), LastEvent: int64(r.LastEventID) + 1, Affinity: r.Affinity, PromptTokens: r.PromptTokens, PromptParts: r.PromptParts, PartKey: r.PartKey,
		LeftMs: r.Left.Milliseconds(), WaitedMs: r.Waited.Milliseconds(), PossibleRuns: int32(r.PossibleRuns), //nolint:gosec // a few
		ConfigVersion: r.ConfigVersion, Node: r.Node, Counted: r.Counted, Binding: encodeBinding(r.Binding),
		MaxOutputTokens: r.MaxOutputTokens, OutputHint: r.OutputHint, SharedTokens: r.SharedTokens,
	}
	for _, n := range r.Parts {
		message.Parts = append(message.Parts, int32(n)) //nolint:gosec // some dozens
	}

	return message
}

// decodeForward converts a message to a forwarded request.
func decodeForward(message *chutesharepb.ForwardRequest) ForwardRequest {
	r := ForwardRequest{
		ID: message.GetId(), Host: message.GetHost(), Method: message.GetMethod(), URI: message.GetUri(), Path: message.GetPath(),
		Header: decodeHeader(message.GetHeader()), Body: message.GetBody(), Key: message.GetKey(), Wait: milliseconds(message.GetWaitMs()),
		LastEventID: int(message.GetLastEvent()) - 1, Affinity: message.GetAffinity(), PromptTokens: message.GetPromptTokens(), PromptParts: message.GetPromptParts(), PartKey: message.GetPartKey(),
		Left: milliseconds(message.GetLeftMs()), Waited: milliseconds(message.GetWaitedMs()), PossibleRuns: int(max(0, message.GetPossibleRuns())),
		ConfigVersion: message.GetConfigVersion(), Node: message.GetNode(), Counted: message.GetCounted(),
		MaxOutputTokens: message.GetMaxOutputTokens(), OutputHint: message.GetOutputHint(), SharedTokens: message.GetSharedTokens(),
	}
	r.Binding, _ = decodeBinding(message.GetBinding()) // one that is too long matches no upstream
	for _, n := range message.GetParts() {
		r.Parts = append(r.Parts, int(n))
	}

	return r
}

func milliseconds(n int64) time.Duration {
	return time.Duration(n) * time.Millisecond
}

func encodeHeader(h http.Header) []*chutesharepb.Field {
	fields := make([]*chutesharepb.Field, 0, len(h))
	for name, values := range h {
		fields = append(fields, &chutesharepb.Field{Name: name, Values: values})
	}

	return fields
}

func decodeHeader(fields []*chutesharepb.Field) http.Header {
	h := http.Header{}
	for _, field := range fields {
		h[field.GetName()] = field.GetValues()
	}

	return h
}
