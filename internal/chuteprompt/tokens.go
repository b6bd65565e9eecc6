package chuteprompt

import (
	"strconv"
	"strings"
)

// maxTokens bounds each number of tokens in a request's header fields. Larger ones count as malformed, so that sums and
// products of them stay far below the limits of int64.
const maxTokens = 10_000_000

// parseTokens returns a number of tokens, and false unless it is in digits alone and at most maxTokens.
func parseTokens(value string) (int64, bool) {
	n, err := strconv.ParseUint(strings.TrimSpace(value), 10, 63)
	if err != nil || n > maxTokens {
		return 0, false
	}

	return int64(n), true //nolint:gosec // at most maxTokens
}

// MaxOutputTokens returns the most tokens that an answer may have by "prompt,maximum"; 0 if it is malformed or does
// not say.
func MaxOutputTokens(value string) int64 {
	_, maximum, _ := strings.Cut(value, ",")
	n, _ := parseTokens(maximum)

	return n
}

// LengthHint returns the caller's estimate of the answer's tokens; 0 if there is none, several or a malformed one.
func LengthHint(fields []string) int64 {
	if len(fields) != 1 {
		return 0
	}
	n, _ := parseTokens(fields[0])

	return n
}

// SharedTokens returns the number of a prompt's tokens that are in the parts "ID:TOKENS" that other prompts may
// share, all but the last one, and at most promptTokens. It is 0 if the number of one of these parts is malformed.
func SharedTokens(fields []string, promptTokens int64) int64 {
	list := strings.TrimRight(strings.Join(fields, ","), ", \t")
	shared := int64(0)
	for {
		entry, rest, found := strings.Cut(list, ",")
		if !found {
			return max(0, min(shared, promptTokens))
		}
		list = rest
		if strings.TrimSpace(entry) == "" {
			continue
		}
		_, count, _ := strings.Cut(entry, ":")
		n, ok := parseTokens(count)
		if !ok {
			return 0
		}
		shared += n
	}
}

// PromptTokens returns the number of prompt tokens in "prompt,answer"; 0 if it is malformed.
func PromptTokens(value string) int64 {
	prompt, _, _ := strings.Cut(value, ",")
	n, err := strconv.ParseInt(strings.TrimSpace(prompt), 10, 64)
	if err != nil {
		return 0
	}

	return n
}
