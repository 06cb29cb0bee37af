// Package generation holds a running generation as an append-only log of
// tokens. The engine appends; routers may start and stop reading at any index.
// A log belongs to exactly one attempt: tokens of another attempt can't be
// appended.
//
// May import of pearyard: types.
package generation
