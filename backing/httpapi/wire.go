package httpapi

// Paths of the platform's HTTP API.
const (
	PathRow     = "/v1/table/row"    // GET, QueryKey
	PathRows    = "/v1/table/rows"   // GET, QueryPrefix, QueryLimit
	PathCommit  = "/v1/table/commit" // POST, backing.Txn
	PathObject  = "/v1/object"       // GET and PUT, QueryKey
	PathVMs     = "/v1/vms"          // GET
	PathWeights = "/v1/weights"      // GET, QueryArtefact, QueryVersion
)

// Parameters of the paths.
const (
	QueryKey      = "key"
	QueryPrefix   = "prefix"
	QueryLimit    = "limit"
	QueryArtefact = "artefact"
	QueryVersion  = "version"
)

// Conflict is the body of a 409: the keys whose conditions did not hold.
type Conflict struct {
	Keys []string `json:"keys"`
}

// Availability is the body of PathWeights.
type Availability struct {
	Available bool `json:"available"`
}
