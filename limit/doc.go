// Package limit decides, for each request, whether its organisation may have
// one of the slots that this router may fill: rate, concurrency, a queue that
// shares slots fairly under pressure, and an honest Retry-After for what it
// sheds. Limits hold across routers by reports that they exchange, with no
// shared store on the path of a request.
//
// May import of pearyard: event, types.
package limit
