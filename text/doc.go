// Package text is the operators' one text: which services there are, what each
// depends on, who may call them and how much is spent on recovery. Parse
// checks it whole; a parsed Text is read-only and may be shared without locks.
//
// May import of pearyard: findings.
package text
