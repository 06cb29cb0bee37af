// Package bench is the command `pearyard bench`: which measurements there are.
// It imports the benches and adds nothing to them.
//
// May import of pearyard: limit/limitbench, measure, membership/memberbench,
// route/routebench.
package bench
