// Package generation holds a running generation as an append-only log of
// tokens. The sidecar appends what the engine generates; routers may start and stop
// reading at any index. A log belongs to exactly one attempt. Once it has ended it
// rejects further tokens, so that late ones of an attempt that was given up reach
// no caller.
//
// May import of pearyard: types.
package generation
