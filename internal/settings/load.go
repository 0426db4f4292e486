package settings

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"reflect"
	"regexp"
	"strings"

	"github.com/jessevdk/go-flags"
	"github.com/zeebo/errs/v2"
)

// Settings is a schema that Load can fill: *Node, *Gateway, *Emulator or
// *Experiment.
type Settings interface {
	// faults checks what spans several keys.
	faults() Faults
}

// Information is returned by Load as an error where the arguments ask for
// text in place of a start: --help, --version or --print-settings.
type Information struct{ Text string }

// Error returns the text that was asked for.
func (i *Information) Error() string { return i.Text }

// general are the flags that say how to load; they are no keys of the file.
type general struct {
	Config        string `long:"config" short:"c" no-ini:"yes" value-name:"FILE" description:"INI file of settings; flags override it"`
	Version       bool   `long:"version" no-ini:"yes" description:"print the version and exit"`
	PrintSettings bool   `long:"print-settings" no-ini:"yes" description:"check the settings, print the effective ones as INI and exit"`
}

// Load fills target from the arguments (without the program's name) and from
// the file that --config names. It returns Faults, or *Information where the
// arguments ask for text.
func Load(program, version string, args []string, target Settings) error {
	options := &general{}
	if err := readArguments(program, args, options); err != nil {
		return err
	}
	if options.Version {
		return &Information{Text: fmt.Sprintf("%s %s", program, version)}
	}
	faults, err := fill(program, args, options, target)
	if err != nil {
		return err
	}
	if len(faults) > 0 {
		return faults
	}
	if options.PrintSettings {
		return &Information{Text: Effective(target)}
	}
	return nil
}

// fill reads the file, then the flags, and checks the result.
func fill(program string, args []string, options *general, target Settings) (Faults, error) {
	lines, faults, err := readFile(options.Config, target)
	if err != nil {
		return nil, err
	}
	parser, err := newParser(program, target, &general{})
	if err != nil {
		return nil, err
	}
	if err := parseLines(parser, lines); err != nil {
		return nil, errs.Wrap(err)
	}
	argumentFaults := parseArguments(parser, args)
	if len(argumentFaults) > 0 {
		// The library stopped before it set the defaults.
		parseArguments(parser, nil)
	}
	faults = append(faults, argumentFaults...)
	faults = append(faults, checkBounds(parser)...)
	if len(faults) == 0 {
		faults = target.faults()
	}
	return faults, nil
}

// LoadFile fills target from a file alone, as Load does.
func LoadFile(path string, target Settings) error {
	return Load("", "", []string{"--config", path}, target)
}

// Start is Load for a main function: it prints what has to be printed and
// tells whether to go on, and else the exit code.
func Start(program, version string, args []string, target Settings, stdout, stderr io.Writer) (code int, proceed bool) {
	const usage = 2
	err := Load(program, version, args, target)
	var information *Information
	switch {
	case err == nil:
		return 0, true
	case errors.As(err, &information):
		fmt.Fprintln(stdout, strings.TrimRight(information.Text, "\n"))
		return 0, false
	}
	fmt.Fprintf(stderr, "%s: settings refused:\n%v\n", program, err)
	return usage, false
}

func newParser(program string, target Settings, options *general) (*flags.Parser, error) {
	parser := flags.NewNamedParser(program, flags.None)
	if _, err := parser.AddGroup("General", "", options); err != nil {
		return nil, errs.Wrap(err)
	}
	if _, err := parser.AddGroup("Settings", "", target); err != nil {
		return nil, errs.Wrap(err)
	}
	return parser, nil
}

// readArguments looks only for the flags that say how to load, so that the
// file can be read before the flags that override it.
func readArguments(program string, args []string, options *general) error {
	help := struct {
		Help bool `long:"help" short:"h" no-ini:"yes" description:"print this help and exit"`
	}{}
	parser := flags.NewNamedParser(program, flags.IgnoreUnknown)
	for _, group := range []any{options, &help} {
		if _, err := parser.AddGroup("General", "", group); err != nil {
			return errs.Wrap(err)
		}
	}
	if _, err := parser.ParseArgs(args); err != nil {
		return Faults{{Allowed: err.Error()}}
	}
	if !help.Help {
		return nil
	}
	return &Information{Text: helpText(program)}
}

func helpText(program string) string {
	var target Settings = &Node{}
	switch program {
	case EmulatorProgram:
		target = &Emulator{}
	case GatewayProgram:
		target = &Gateway{}
	}
	parser, err := newParser(program, target, &general{})
	if err != nil {
		return err.Error()
	}
	var text bytes.Buffer
	parser.WriteHelp(&text)
	return text.String()
}

func parseArguments(parser *flags.Parser, args []string) Faults {
	rest, err := parser.ParseArgs(args)
	if err != nil {
		return Faults{{Allowed: argumentError(parser, err)}}
	}
	var faults Faults
	for _, argument := range rest {
		faults = append(faults, Fault{Allowed: fmt.Sprintf("argument %q: only flags are allowed", argument)})
	}
	return faults
}

// goTypePattern is what the library says about the Go type of a flag's field.
var goTypePattern = regexp.MustCompile(` \(expected [^)]*\)`)

// ArgumentText returns the library's message on an argument without the Go
// types that it names.
func ArgumentText(err error) string { return goTypePattern.ReplaceAllString(err.Error(), "") }

// argumentError adds what the flag allows to the library's message.
func argumentError(parser *flags.Parser, err error) string {
	text := ArgumentText(err)
	var flagError *flags.Error
	if !errors.As(err, &flagError) || flagError.Type != flags.ErrMarshal {
		return text
	}
	eachOption(parser, func(option *flags.Option) {
		bounds := boundsText(option)
		if bounds != "" && strings.Contains(flagError.Message, "--"+option.LongName+"'") {
			text += "; " + bounds
		}
	})
	return text
}

// Effective returns the settings as an INI file that Load would read to the
// same values. The library's own writer names keys by the fields of the Go
// struct; operators know them by their flags.
func Effective(target Settings) string {
	parser, err := newParser("", target, &general{})
	if err != nil {
		return err.Error()
	}
	var text strings.Builder
	eachOption(parser, func(option *flags.Option) {
		if option.Field().Tag.Get("no-ini") != "" {
			return
		}
		value := reflect.ValueOf(option.Value())
		if value.Kind() != reflect.Slice {
			fmt.Fprintf(&text, "%s = %v\n", option.LongName, option.Value())
			return
		}
		for i := range value.Len() {
			fmt.Fprintf(&text, "%s = %v\n", option.LongName, value.Index(i).Interface())
		}
	})
	return text.String()
}

func eachOption(parser *flags.Parser, visit func(*flags.Option)) {
	var walk func(groups []*flags.Group)
	walk = func(groups []*flags.Group) {
		for _, group := range groups {
			for _, option := range group.Options() {
				visit(option)
			}
			walk(group.Groups())
		}
	}
	walk(parser.Groups())
}
