// Package configpb holds the messages by which processes hand the operators' text to each other.
package configpb
