// Package promptcache tells which backend servers keep the prompt of a request
// that comes back, so that it goes on where nothing has to be read again.
//
// A caller whose connection broke comes back through another entry VM, or after
// all of them were restarted. No VM that it meets then knows where its stream
// ran, but that server mostly keeps the prompt for a while. Asking costs a few
// milliseconds and a small answer a server; reading a prompt of 8,000 tokens
// again takes a second, more than the pause that callers allow.
//
// May import of pearyard: directory.
package promptcache
