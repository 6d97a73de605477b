package node

import (
	"encoding/json"
	"net/http"

	"github.com/gorilla/mux"

	"github.com/cassialead/cassialead/config"
	"github.com/cassialead/cassialead/control"
	"github.com/cassialead/cassialead/fleet"
	"github.com/cassialead/cassialead/listener"
)

// localRouter returns the handler for targets on this VM and for operators.
func (n *Node) localRouter() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/v1/targets", n.targets.serveRegister).Methods(http.MethodPost)
	r.HandleFunc("/v1/targets/{service}", func(_ http.ResponseWriter, r *http.Request) {
		n.targets.deregister(config.ServiceName(mux.Vars(r)["service"]))
	}).Methods(http.MethodDelete)
	n.registerOperatorRoutes(r)
	return r
}

// registerOperatorRoutes registers the endpoints for operators, which every node serves.
func (n *Node) registerOperatorRoutes(r *mux.Router) {
	r.HandleFunc("/healthz", func(http.ResponseWriter, *http.Request) {})
	r.HandleFunc("/readyz", n.serveReady)
	r.HandleFunc("/metrics", func(w http.ResponseWriter, _ *http.Request) { n.deps.Metrics.WritePrometheus(w) })
	r.HandleFunc("/v1/status", n.serveStatus).Methods(http.MethodGet)
	r.HandleFunc("/v1/records", n.serveRecords).Methods(http.MethodGet)
	r.HandleFunc("/v1/document", n.serveDocument).Methods(http.MethodGet)
	r.HandleFunc("/v1/explain", n.serveExplain).Methods(http.MethodGet)
	r.HandleFunc("/v1/drain", n.serveDrain).Methods(http.MethodPost)
}

func (n *Node) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !n.ready.Load() || n.gateway.Draining() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
	}
}

func writeJSON(w http.ResponseWriter, r *http.Request, v any) {
	w = listener.FromContext(r.Context()).Writer(w)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// Status returns the status of the node's state machine.
func (n *Node) Status() control.Status {
	var s control.Status
	n.Inspect(func(machine *control.Core) { s = machine.Status() })
	return s
}

func (n *Node) serveStatus(w http.ResponseWriter, r *http.Request) { writeJSON(w, r, n.Status()) }

func (n *Node) serveRecords(w http.ResponseWriter, r *http.Request) {
	var records []fleet.Record
	n.Inspect(func(machine *control.Core) { records = machine.Records() })
	writeJSON(w, r, records)
}

// ActiveDocument is a node's active configuration document with its version, in JSON.
type ActiveDocument struct {
	Lineage  config.Lineage  `json:"lineage"`
	Version  config.Version  `json:"version"`
	Document config.Document `json:"document"`
}

func (n *Node) serveDocument(w http.ResponseWriter, r *http.Request) {
	var d ActiveDocument
	n.Inspect(func(machine *control.Core) {
		_, active := machine.Config()
		d = ActiveDocument{active.Lineage, active.Version, machine.Document()}
	})
	writeJSON(w, r, d)
}

func (n *Node) serveExplain(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	writeJSON(w, r, n.gateway.Explain(q.Get("host"), q.Get("path"), config.Tenant(q.Get("tenant"))))
}

func (n *Node) serveDrain(w http.ResponseWriter, r *http.Request) {
	n.targets.drain()
	writeJSON(w, r, n.Status())
}

// ConfigVersion returns the version of the configuration by which the node's calls are routed.
func (n *Node) ConfigVersion() config.Version { return n.gateway.ConfigVersion() }

// EndpointCount returns the number of targets of a service that the node can select.
func (n *Node) EndpointCount(s config.ServiceName) int { return n.gateway.EndpointCount(s) }

// Ready reports whether the node is ready to serve calls.
func (n *Node) Ready() bool { return n.ready.Load() }

// KnownNodes returns the number of live nodes of which the node has a record.
func (n *Node) KnownNodes() int { return int(n.knownNodes.Load()) }
