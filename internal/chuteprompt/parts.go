package chuteprompt

import (
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxPromptParts is the number of parts of a prompt that are looked at; longer prompts are judged by their
	// first parts.
	maxPromptParts = 32
	// maxPartIDBytes is the length up to which the id of a part is kept as it is; a hash takes the place of
	// longer ones, and of those that are not hexadecimal.
	maxPartIDBytes = 32
	hexDigits      = "0123456789abcdef"
)

// SharedParts returns the ids of the parts of a prompt that other prompts may share: all but the last one, each once.
// Several spellings of an id are the same part.
func SharedParts(fields []string) []string {
	list := strings.TrimRight(strings.Join(fields, ","), ", \t")
	var parts []string
	for len(parts) < maxPromptParts {
		entry, rest, found := strings.Cut(list, ",")
		if !found {
			break
		}
		list = rest
		if id := promptPartID(entry); id != "" && !slices.Contains(parts, id) {
			parts = append(parts, id)
		}
	}

	return parts
}

// promptPartID returns the id in an entry "ID:TOKENS", in lower case and without leading zeros; empty if there is none.
func promptPartID(entry string) string {
	id, _, _ := strings.Cut(entry, ":")
	id = strings.TrimSpace(id)
	if id == "" {
		return ""
	}
	digits := strings.TrimLeft(strings.ToLower(id), "0")
	if len(digits) > maxPartIDBytes || strings.Trim(digits, hexDigits) != "" {
		// No id has a colon.
		return "hash:" + strconv.FormatUint(xxhash.Sum64String(id), 16)
	}
	if digits == "" {
		return "0"
	}

	return digits
}
