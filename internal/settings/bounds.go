package settings

import (
	"fmt"
	"net/netip"
	"reflect"
	"regexp"
	"strconv"
	"time"

	"github.com/jessevdk/go-flags"
)

// namePattern is what names of nodes, zones, pools and the like look like in
// settings, in the operators' language and in the table service.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9_.-]{0,62}$`)

const nameAllowed = "a name: letters, digits, _ . -, beginning with a letter or digit, at most 63 characters"

var durationType = reflect.TypeFor[time.Duration]()

// checkBounds checks every option of the parser against the tags of its field.
func checkBounds(parser *flags.Parser) Faults {
	var faults Faults
	eachOption(parser, func(option *flags.Option) {
		allowed := violation(option)
		if allowed == "" {
			return
		}
		faults = append(faults, Fault{Key: option.LongName, Value: fmt.Sprint(option.Value()), Allowed: allowed})
	})
	return faults
}

// violation returns what the tags allow if the option's value lies outside it,
// and else nothing.
func violation(option *flags.Option) string {
	tag, value := option.Field().Tag, reflect.ValueOf(option.Value())
	switch {
	case value.Kind() == reflect.String:
		return textViolation(tag, value.String())
	case value.Kind() == reflect.Slice && tag.Get("mandatory") != "" && value.Len() == 0:
		return "at least one must be set"
	}
	number, ok := numberOf(value)
	if !ok {
		return ""
	}
	low, lowSet := boundOf(tag.Get("min"), value.Type())
	high, highSet := boundOf(tag.Get("max"), value.Type())
	if (!lowSet || number >= low) && (!highSet || number <= high) {
		return ""
	}
	return boundsText(option)
}

// boundsText says what a number or duration may be; it is empty for others.
func boundsText(option *flags.Option) string {
	tag := option.Field().Tag
	low, high := tag.Get("min"), tag.Get("max")
	if low == "" || high == "" {
		return ""
	}
	if option.Field().Type == durationType {
		return fmt.Sprintf("must be a duration from %s to %s, as 500ms, 10s or 2m", low, high)
	}
	text := fmt.Sprintf("must be a number from %s to %s", low, high)
	if unit := tag.Get("unit"); unit != "" {
		text += " " + unit
	}
	return text
}

func textViolation(tag reflect.StructTag, text string) string {
	if text == "" {
		if tag.Get("mandatory") != "" {
			return "must be set"
		}
		return ""
	}
	switch tag.Get("format") {
	case "name":
		if !namePattern.MatchString(text) {
			return "must be " + nameAllowed
		}
	case "listen":
		return addressViolation(text, true)
	case "address":
		return addressViolation(text, false)
	}
	return ""
}

// addressViolation refuses host names: processes talk by IP numbers, and no
// lookup may delay or divert them.
func addressViolation(text string, portZero bool) string {
	address, err := netip.ParseAddrPort(text)
	if err != nil {
		return "must be an IP number and a port, as 127.0.0.1:7000 or [::1]:7000"
	}
	if address.Port() == 0 && !portZero {
		return "must have a port from 1 to 65535"
	}
	return ""
}

func numberOf(value reflect.Value) (float64, bool) {
	switch {
	case value.CanInt():
		return float64(value.Int()), true
	case value.CanFloat():
		return value.Float(), true
	}
	return 0, false
}

// boundOf parses a bound of the schema. One that cannot be parsed is a fault
// of the program.
func boundOf(text string, of reflect.Type) (float64, bool) {
	if text == "" {
		return 0, false
	}
	if of == durationType {
		duration, err := time.ParseDuration(text)
		if err != nil {
			panic("settings: bound " + text + " is no duration")
		}
		return float64(duration), true
	}
	number, err := strconv.ParseFloat(text, 64)
	if err != nil {
		panic("settings: bound " + text + " is no number")
	}
	return number, true
}
