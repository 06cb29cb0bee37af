// Package promptcache finds the backend servers that have the prompt of a returning
// request cached, so that it resumes where nothing has to be read again.
//
// A caller whose connection broke comes back through another entry VM, or after all of
// them were restarted. No VM that it meets then knows where its stream ran, but that
// server usually keeps the prompt cached for a while. Asking costs a few milliseconds
// and a small response per server; reading a prompt of 8,000 tokens again takes a
// second, more than the pause that callers allow.
//
// May import of pearyard: directory.
package promptcache
