// Package streamversion knows which version of the servers' software began which stream.
//
// What two versions write does not fit together, and servers don't check it: a stream may
// go on only at the version that began it. Its caller may come back through any entry VM,
// which learns the version from a record, or infers it from the versions that have served:
// while there has been a single one, nothing has to be recorded.
//
// May import of pearyard: none.
package streamversion
