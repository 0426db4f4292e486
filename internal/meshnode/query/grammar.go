package query

import (
	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
)

// Token names of the lexer.
const (
	tokenIdent    = "Ident"
	tokenString   = "String"
	tokenDuration = "Duration"
	tokenNumber   = "Number"
	tokenComment  = "Comment"
	tokenSpace    = "Space"
)

// identPattern is what a name looks like that needs no quotes. Dashes, dots and
// slashes join words; two dashes begin a comment.
const identPattern = `[A-Za-z_][A-Za-z0-9_]*(?:[-./:][A-Za-z0-9_]+)*`

var tokens = lexer.MustSimple([]lexer.SimpleRule{
	{Name: tokenComment, Pattern: `--[^\n]*`},
	{Name: tokenSpace, Pattern: `\s+`},
	{Name: tokenString, Pattern: `'(?:[^']|'')*'|"(?:[^"]|"")*"`},
	{Name: tokenDuration, Pattern: `-?(?:[0-9]+(?:\.[0-9]+)?(?:ns|us|ms|s|m|h))+\b`},
	{Name: tokenNumber, Pattern: `-?[0-9]+(?:\.[0-9]+)?\b`},
	{Name: tokenIdent, Pattern: identPattern},
	{Name: "Operator", Pattern: `<=|>=|!=|<>|[=<>]`},
	{Name: "Punctuation", Pattern: `[;,()]`},
})

// parser turns text into the grammar types below. Literals in the tags are
// keywords and match in any case.
var parser = participle.MustBuild[scriptGrammar](
	participle.Lexer(tokens),
	participle.Elide(tokenComment, tokenSpace),
	participle.CaseInsensitive(tokenIdent),
	// The grammar is LL(1): one token decides each branch, so a mistake is
	// reported where it stands and not where a branch began.
	participle.UseLookahead(0),
)

// The grammar types mirror the text; build.go turns them into checked
// statements.
type scriptGrammar struct {
	Statements []*statementGrammar `parser:"@@? ( ';' @@? )*"`
}

type statementGrammar struct {
	Pos     lexer.Position
	EndPos  lexer.Position
	Show    *showGrammar    `parser:"  'SHOW' @@"`
	Explain *explainGrammar `parser:"| 'EXPLAIN' 'REQUEST' @@"`
	Change  *changeGrammar  `parser:"| @@"`
}

type showGrammar struct {
	Change *nameGrammar   `parser:"  'CHANGE' @@"`
	Table  *selectGrammar `parser:"| @@"`
}

type explainGrammar struct {
	Request *nameGrammar `parser:"@@"`
}

type selectGrammar struct {
	Table string          `parser:"@( 'nodes' | 'engines' | 'applications' | 'pools' | 'steps' | 'leases' | 'versions' | 'changes' | 'drains' | 'settings' | 'regions' )"`
	Where *orGrammar      `parser:"( 'WHERE' @@ )?"`
	Order []*orderGrammar `parser:"( 'ORDER' 'BY' @@ ( ',' @@ )* )?"`
	Limit *numberGrammar  `parser:"( 'LIMIT' @@ )?"`
}

type orGrammar struct {
	Terms []*andGrammar `parser:"@@ ( 'OR' @@ )*"`
}

type andGrammar struct {
	Terms []*testGrammar `parser:"@@ ( 'AND' @@ )*"`
}

type testGrammar struct {
	Group      *orGrammar         `parser:"  '(' @@ ')'"`
	Comparison *comparisonGrammar `parser:"| @@"`
}

type comparisonGrammar struct {
	Column   *nameGrammar    `parser:"@@"`
	Is       *isGrammar      `parser:"(   'IS' @@"`
	Operator string          `parser:"  | @( '=' | '!=' | '<>' | '<=' | '>=' | '<' | '>' )"`
	Literal  *literalGrammar `parser:"    @@ )"`
}

type isGrammar struct {
	Not     bool `parser:"@'NOT'?"`
	Unknown bool `parser:"@'UNKNOWN'"`
}

type orderGrammar struct {
	Column     *nameGrammar `parser:"@@"`
	Descending bool         `parser:"( @'DESC' | 'ASC' )?"`
}

type changeGrammar struct {
	Create     *createGrammar  `parser:"(   'CREATE' 'POOL' @@"`
	Alter      *alterGrammar   `parser:"  | 'ALTER' 'POOL' @@"`
	Drop       *nameGrammar    `parser:"  | 'DROP' 'POOL' @@"`
	Set        *settingGrammar `parser:"  | 'SET' @@"`
	Drain      *scopeGrammar   `parser:"  | 'DRAIN' @@"`
	Resume     *scopeGrammar   `parser:"  | 'RESUME' @@"`
	Pin        *pinGrammar     `parser:"  | 'PIN' 'VERSION' @@"`
	Unpin      *nameGrammar    `parser:"  | 'UNPIN' 'VERSION' 'FOR' 'POOL' @@ )"`
	IfRevision *numberGrammar  `parser:"( 'IF' 'REVISION' @@ )?"`
	Wait       *numberGrammar  `parser:"( 'WAIT' @@ ( 'SECONDS' | 'SECOND' ) )?"`
}

type createGrammar struct {
	Name     *nameGrammar      `parser:"@@ 'KIND'"`
	Kind     string            `parser:"@( 'engines' | 'applications' )"`
	Options  []*optionGrammar  `parser:"@@*"`
	Backends []*backendGrammar `parser:"'BACKENDS' '(' @@ ( ',' @@ )* ')'"`
}

type optionGrammar struct {
	Pos          lexer.Position
	Model        *nameGrammar   `parser:"  'MODEL' @@"`
	VersionBound *numberGrammar `parser:"| 'VERSION' 'BOUND' @@"`
	Priority     *numberGrammar `parser:"| 'PRIORITY' @@"`
	MaxInFlight  *numberGrammar `parser:"| 'MAX' 'IN' 'FLIGHT' @@"`
	IdleWeight   *numberGrammar `parser:"| 'IDLE' 'WEIGHT' @@"`
}

type backendGrammar struct {
	Name    *nameGrammar `parser:"@@"`
	Address *nameGrammar `parser:"'AT' @@"`
	Zone    *nameGrammar `parser:"'ZONE' @@"`
	Region  *nameGrammar `parser:"( 'REGION' @@ )?"`
	Site    *nameGrammar `parser:"( 'SITE' @@ )?"`
}

type alterGrammar struct {
	Name        *nameGrammar     `parser:"@@"`
	Options     []*optionGrammar `parser:"(   'SET' @@ ( ',' @@ )*"`
	AddBackend  *backendGrammar  `parser:"  | 'ADD' 'BACKEND' @@"`
	DropBackend *nameGrammar     `parser:"  | 'DROP' 'BACKEND' @@ )"`
}

type settingGrammar struct {
	Key   *nameGrammar    `parser:"@@ '='"`
	Value *literalGrammar `parser:"@@"`
}

type scopeGrammar struct {
	Scope string       `parser:"@( 'ENGINE' | 'NODE' | 'ZONE' | 'SITE' )"`
	Name  *nameGrammar `parser:"@@"`
}

type pinGrammar struct {
	Version *numberGrammar `parser:"@@"`
	Pool    *nameGrammar   `parser:"'FOR' 'POOL' @@"`
}

// nameGrammar is an identifier or quoted text, as written.
type nameGrammar struct {
	Pos  lexer.Position
	Text string `parser:"@( Ident | String )"`
}

// numberGrammar is a number, as written.
type numberGrammar struct {
	Pos  lexer.Position
	Text string `parser:"@Number"`
}

// literalGrammar is a value to compare with or to set, as written.
type literalGrammar struct {
	Pos      lexer.Position
	Duration *string `parser:"  @Duration"`
	Number   *string `parser:"| @Number"`
	String   *string `parser:"| @String"`
	Word     *string `parser:"| @Ident"`
}
