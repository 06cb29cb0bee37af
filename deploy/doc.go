// Package deploy holds the files that describe how pearyard is built and started on
// the platform, and the days: scripts of disruptions to run there. It has no code;
// its tests check the files.
//
// May import of pearyard: none.
package deploy
