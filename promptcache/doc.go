// Package promptcache finds the backend servers that have the prompt of a returning
// request cached, so that it resumes where nothing has to be read again.
//
// A caller whose connection broke comes back through another entry VM, or after all of
// them were restarted. That VM does not know where the stream ran, but the server that
// ran it usually keeps the prompt cached for a while. A query costs a few milliseconds
// and a small response per server; reading a prompt of 8,000 tokens again takes a
// second, more than the pause that callers allow.
//
// With many entry VMs each queries only a part of the servers, and asks one of those that
// query the others.
//
// May import of pearyard: directory.
package promptcache
