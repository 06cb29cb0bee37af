// Package httpanswer has what servers of callers share: an answer that knows
// whether it has begun, and refusals of requests whose bodies nobody reads.
//
// May import of pearyard: none.
package httpanswer
