package tables

import (
	"strings"

	"gopkg.in/ini.v1"
)

// parsedSection is a section that was read without a fault, or with faults that were reported. One of the values is set.
// None of them depends on another section, and none is modified.
type parsedSection struct {
	title     string // as in the brackets
	route     *Route
	pool      *Pool
	workspace *Workspace
	limits    *Limits
}

// sectionText identifies a section by its table and its text.
type sectionText struct{ table, text string }

// sectionsByText holds the sections of a snapshot, for the check of the next one.
type sectionsByText map[sectionText]*parsedSection

// section reads the keys of one section of a table and records which keys were read.
type section struct {
	checker *checker
	table   string
	ini     *ini.Section
	used    map[string]bool
}

// parseTable returns the sections of a table that are named [PREFIX NAME], and those for limits and workspaces, in the order
// of the text. It reports all others. Sections whose text is known are not parsed again.
func (c *checker) parseTable(table, prefix, text string) []*parsedSection {
	texts, known := c.splitKnown(table, text)
	if texts == nil {
		return c.readSections(table, prefix, c.parse(table, text))
	}
	var unknown strings.Builder
	for i, part := range texts {
		if known[i] == nil {
			unknown.WriteString(part)
		}
	}
	faults := len(c.faults)
	sections := c.parse(table, unknown.String())
	if !matchTexts(texts, known, sections) {
		c.faults = c.faults[:faults]
		return c.readSections(table, prefix, c.parse(table, text))
	}
	return c.mergeSections(table, prefix, texts, known, sections)
}

// splitKnown splits the text of a table into sections, and returns for each the parsed one if it is known. It returns nil
// for a text whose lines do not tell where its sections begin: values may span lines in quotes or after a backslash.
func (c *checker) splitKnown(table, text string) (texts []string, known []*parsedSection) {
	if !strings.HasPrefix(text, "[") || strings.Contains(text, "`") || strings.Contains(text, `"""`) || strings.Contains(text, "\\") {
		return nil, nil
	}
	texts = splitSections(text)
	known = make([]*parsedSection, len(texts))
	for i, part := range texts {
		known[i] = c.known[sectionText{table, part}]
	}
	return texts, known
}

// matchTexts reports whether the sections are those of the texts that are not known, one by one.
func matchTexts(texts []string, known []*parsedSection, sections []*ini.Section) bool {
	next := 0
	for i, part := range texts {
		if known[i] != nil {
			continue
		}
		if next == len(sections) || !strings.HasPrefix(part, "["+sections[next].Name()+"]") {
			return false
		}
		next++
	}
	return next == len(sections)
}

// mergeSections returns the known sections and those that it reads, in the order of the texts, and keeps them for the next
// check.
func (c *checker) mergeSections(table, prefix string, texts []string, known []*parsedSection, sections []*ini.Section) []*parsedSection {
	if c.snapshot.sections == nil {
		c.snapshot.sections = make(sectionsByText, len(texts))
	}
	merged, seen := make([]*parsedSection, 0, len(texts)), make(map[string]bool, len(texts))
	for i, part := range texts {
		parsed := known[i]
		switch {
		case parsed == nil:
			parsed = c.readSection(table, prefix, sections[0], seen)
			sections = sections[1:]
		case !c.noteTitle(table, parsed.title, seen):
			parsed = nil
		}
		if parsed != nil {
			merged = append(merged, parsed)
			c.snapshot.sections[sectionText{table, part}] = parsed
		}
	}
	return merged
}

// parse returns the sections of a text without the default one, which must be empty.
func (c *checker) parse(table, text string) []*ini.Section {
	if text == "" {
		return nil
	}
	file, err := ini.LoadSources(ini.LoadOptions{
		IgnoreInlineComment:    true,
		AllowNonUniqueSections: true,
	}, []byte(text))
	if err != nil {
		c.addFault(table, "", "", "cannot be parsed: %v", err)
		return nil
	}
	var sections []*ini.Section
	for _, s := range file.Sections() {
		if s.Name() != ini.DefaultSection {
			sections = append(sections, s)
			continue
		}
		for _, key := range s.Keys() {
			c.addFault(table, "", key.Name(), "is set before the first section")
		}
	}
	return sections
}

func (c *checker) readSections(table, prefix string, sections []*ini.Section) []*parsedSection {
	var all []*parsedSection
	seen := map[string]bool{}
	for _, s := range sections {
		if parsed := c.readSection(table, prefix, s, seen); parsed != nil {
			all = append(all, parsed)
		}
	}
	return all
}

// readSection reads one section, or reports why it does not belong to the table and returns nil.
func (c *checker) readSection(table, prefix string, s *ini.Section, seen map[string]bool) *parsedSection {
	parsed, read := &parsedSection{title: s.Name()}, &section{checker: c, table: table, ini: s, used: map[string]bool{}}
	if table == "routes" && s.Name() == limitsSection {
		parsed.limits = read.readLimits()
		return parsed
	}
	kind, name, _ := strings.Cut(s.Name(), " ")
	isWorkspace := table == "routes" && kind == workspacePrefix
	if kind != prefix && !isWorkspace || strings.TrimSpace(name) == "" {
		c.addFault(table, s.Name(), "", "is not a section of this table, expected [%s NAME]", prefix)
		return nil
	}
	if !c.noteTitle(table, s.Name(), seen) {
		return nil
	}
	switch {
	case isWorkspace:
		parsed.workspace = read.readWorkspace()
	case prefix == "pool":
		parsed.pool = read.readPool()
	default:
		parsed.route = read.readRoute()
	}
	return parsed
}

// noteTitle reports a section that is defined twice, and returns false for it. The limits may be.
func (c *checker) noteTitle(table, title string, seen map[string]bool) bool {
	if seen[title] {
		c.addFault(table, title, "", "is defined twice")
		return false
	}
	seen[title] = title != limitsSection
	return true
}
