// Package deploy holds how pearyard is built and started on the platform, and
// days of trouble to play there. It has no code; its tests check the files.
//
// May import of pearyard: none.
package deploy
