// Package standin simulates the external systems in tests, in scenarios and in
// the demo: model engines, plain services and the platform. Each stand-in is an
// http.Handler whose faults are set by methods and by POST /faults.
// docs/design/standins.md describes the HTTP API.
//
// May import of pearyard: backing, backing/httpapi, engine, engine/httpapi,
// types.
package standin
