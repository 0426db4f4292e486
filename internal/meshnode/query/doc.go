// Package query is the operators' language: its grammar, its typed statements
// and their execution over the interfaces Catalog and Changes.
//
// A text holds statements separated by semicolons. The whole text is parsed and
// checked before any of it runs, so a text with a mistake does nothing. A
// mistake is a *SyntaxError that names the line and column, draws a caret under
// the place and lists what the grammar would take there.
//
// What readers of an answer may rely on:
//
//   - Every answer says as of when it holds and from whom it was heard.
//   - What is not known is the value Unknown, never an empty cell. A comparison
//     with an unknown value is not true, and rows that were left out for that
//     reason are counted in the table's notes.
//   - A change answers with its id, its revision once it was accepted, and how
//     far it is in force, naming the nodes that have not confirmed it. One whose
//     fate is open says so; SHOW CHANGE 'id' asks again. A change that lost
//     against another names the revision that beat it.
//   - Execution stops at the first statement that did not succeed.
package query
