// Package generation keeps a running generation as an append-only log of
// tokens. The engine appends; routers read from any index on and may come and
// go. A log belongs to exactly one attempt: tokens of another attempt have no
// way in.
//
// May import of pearyard: types.
package generation
