package settings

import (
	"errors"
	"fmt"
	"os"
	"sort"
	"strings"

	"github.com/jessevdk/go-flags"
)

// readFile returns the lines of the file without the faulty ones, and a fault
// for each of those, in the order of the file. The library stops at the first
// fault, so each faulty line is blanked and the file read again until none is
// left. An empty path stands for an empty file. A file that cannot be read is
// returned as an error: what else is wrong then follows from it.
func readFile(path string, target Settings) ([]string, Faults, error) {
	if path == "" {
		return nil, nil, nil
	}
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, nil, Faults{{Key: "config", Value: path, Allowed: err.Error()}}
	}
	lines := strings.Split(string(content), "\n")
	found := map[int]Fault{}
	for {
		parser, err := newParser("", target, &general{})
		if err != nil {
			return nil, nil, err
		}
		line, fault, clean := firstFault(parser, lines)
		if clean {
			return lines, inOrder(path, found), nil
		}
		found[line] = fault
		lines[line] = ""
	}
}

func parseLines(parser *flags.Parser, lines []string) error {
	return flags.NewIniParser(parser).Parse(strings.NewReader(strings.Join(lines, "\n")))
}

// firstFault returns the index of a line that is faulty, or true where none is.
func firstFault(parser *flags.Parser, lines []string) (int, Fault, bool) {
	for index, line := range lines {
		if allowed := unknownSection(parser, line); allowed != "" {
			return index, Fault{Allowed: allowed}, false
		}
	}
	err := parseLines(parser, lines)
	if err == nil {
		return 0, Fault{}, true
	}
	var lineError *flags.IniError
	if !errors.As(err, &lineError) {
		panic("settings: a fault of the INI file that names no line: " + err.Error())
	}
	index := int(lineError.LineNumber) - 1
	key, value, _ := strings.Cut(lines[index], "=")
	fault := Fault{Key: strings.TrimSpace(key), Value: strings.TrimSpace(value), Allowed: lineError.Message}
	if option := parser.FindOptionByLongName(fault.Key); option != nil {
		if bounds := boundsText(option); bounds != "" {
			fault.Allowed = bounds
		}
	}
	return index, fault, false
}

// unknownSection returns what is wrong with a line that names a section which
// does not exist, and else nothing.
func unknownSection(parser *flags.Parser, line string) string {
	line = strings.TrimSpace(line)
	if !strings.HasPrefix(line, "[") || !strings.HasSuffix(line, "]") {
		return ""
	}
	name := strings.TrimSpace(line[1 : len(line)-1])
	var known []string
	for _, top := range parser.Groups() {
		for _, group := range top.Groups() {
			if strings.EqualFold(group.ShortDescription, name) {
				return ""
			}
			known = append(known, group.ShortDescription)
		}
	}
	return fmt.Sprintf("section %q: must be one of %s", name, strings.Join(known, ", "))
}

func inOrder(path string, found map[int]Fault) Faults {
	indexes := make([]int, 0, len(found))
	for index := range found {
		indexes = append(indexes, index)
	}
	sort.Ints(indexes)
	var faults Faults
	for _, index := range indexes {
		fault := found[index]
		fault.Where = fmt.Sprintf("%s:%d", path, index+1)
		faults = append(faults, fault)
	}
	return faults
}
