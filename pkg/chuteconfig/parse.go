package chuteconfig

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"unicode/utf8"
)

// Bounds of what is read. A set stays under the 4 MiB that grpc takes in one
// message, so that peers can hand it to each other whole.
const (
	MaxFileBytes = 1 << 20
	MaxSetBytes  = 3 << 20
	maxDepth     = 16
	maxShown     = 120
)

// parse reads one JSON document into maps, slices, json.Number, string, bool and nil.
//
// encoding/json keeps the last of two members with the same name and says
// nothing, so an operator who adds a second "Pools" would lose the first one
// unseen. The tokens are therefore walked by hand and a repeated name is found.
func parse(body []byte, maxBytes int) (any, []Finding) {
	if len(body) > maxBytes {
		return nil, []Finding{{
			Problem: fmt.Sprintf("the file has %d bytes, the most is %d", len(body), maxBytes),
			Mend:    "shorten it",
		}}
	}
	if !utf8.Valid(body) {
		return nil, []Finding{{Problem: "the file is not UTF-8", Mend: "save it as UTF-8"}}
	}
	var whole json.RawMessage
	if err := json.Unmarshal(body, &whole); err != nil {
		return nil, []Finding{syntaxFinding(body, err)}
	}
	p := parser{dec: json.NewDecoder(bytes.NewReader(body))}
	p.dec.UseNumber()
	v := p.value("", 0)

	return v, p.findings
}

type parser struct {
	dec      *json.Decoder
	findings []Finding
	failed   bool
}

func (p *parser) fail(at path, problem, mend string) {
	p.findings = append(p.findings, Finding{Path: string(at), Problem: problem, Mend: mend})
	p.failed = true
}

func (p *parser) value(at path, depth int) any {
	token, err := p.dec.Token()
	if err != nil {
		p.fail(at, err.Error(), "correct the JSON")

		return nil
	}
	delim, ok := token.(json.Delim)
	if !ok {
		return token
	}
	if depth == maxDepth {
		p.fail(at, fmt.Sprintf("nested deeper than %d levels", maxDepth), "flatten it")

		return nil
	}
	if delim == '{' {
		return p.object(at, depth+1)
	}

	return p.array(at, depth+1)
}

func (p *parser) object(at path, depth int) map[string]any {
	members := map[string]any{}
	for !p.failed && p.dec.More() {
		token, err := p.dec.Token()
		name, ok := token.(string)
		if err != nil || !ok {
			p.fail(at, "a member without a name", "correct the JSON")

			return members
		}
		if _, twice := members[name]; twice {
			p.findings = append(p.findings, Finding{
				Path:    string(at.key(name)),
				Problem: "stated twice in the same object",
				Mend:    "keep one of the two",
			})
		}
		members[name] = p.value(at.key(name), depth)
	}
	p.end(at)

	return members
}

func (p *parser) array(at path, depth int) []any {
	elements := []any{}
	for !p.failed && p.dec.More() {
		elements = append(elements, p.value(at.index(len(elements)), depth))
	}
	p.end(at)

	return elements
}

func (p *parser) end(at path) {
	if p.failed {
		return
	}
	if _, err := p.dec.Token(); err != nil {
		p.fail(at, err.Error(), "correct the JSON")
	}
}

func syntaxFinding(body []byte, err error) Finding {
	f := Finding{Problem: "not valid JSON: " + err.Error(), Mend: "correct the JSON there"}
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		before := body[:min(int(syntax.Offset), len(body))]
		line := bytes.Count(before, []byte("\n")) + 1
		column := len(before) - bytes.LastIndexByte(before, '\n') - 1
		f.Path = fmt.Sprintf("line %d, column %d", line, column)
	}

	return f
}

// path leads to a value in a document, written as "Pools.model.Slots" or "Stages[2]".
type path string

func (p path) key(name string) path {
	if p == "" {
		return path(name)
	}

	return p + "." + path(name)
}

func (p path) index(i int) path {
	return p + path("["+strconv.Itoa(i)+"]")
}

// show returns a value as short JSON.
func show(v any) string {
	text, err := json.Marshal(v)
	if err != nil {
		return ""
	}
	if len(text) > maxShown {
		return string(text[:maxShown]) + "..."
	}

	return string(text)
}
