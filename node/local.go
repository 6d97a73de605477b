package node

import (
	"encoding/json"
	"net/http"

	"github.com/gorilla/mux"

	"github.com/cassialead/cassialead/config"
	"github.com/cassialead/cassialead/control"
)

// localRouter serves targets on this VM and operators.
func (n *Node) localRouter() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/v1/targets", n.targets.serveAnnounce).Methods(http.MethodPost)
	r.HandleFunc("/v1/targets/{service}", func(_ http.ResponseWriter, r *http.Request) {
		n.targets.withdraw(config.ServiceName(mux.Vars(r)["service"]))
	}).Methods(http.MethodDelete)
	n.routeOperators(r)
	return r
}

// routeOperators adds what operators may ask of any node.
func (n *Node) routeOperators(r *mux.Router) {
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

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// Status returns the node's place in the fleet.
func (n *Node) Status() control.Status {
	var s control.Status
	n.Ask(func(c *control.Core) { s = c.Status() })
	return s
}

func (n *Node) serveStatus(w http.ResponseWriter, _ *http.Request) { writeJSON(w, n.Status()) }

func (n *Node) serveRecords(w http.ResponseWriter, _ *http.Request) {
	n.Ask(func(c *control.Core) { writeJSON(w, c.Records()) })
}

// HeldDocument is a node's document in force with its version, in JSON.
type HeldDocument struct {
	Lineage  config.Lineage  `json:"lineage"`
	Version  config.Version  `json:"version"`
	Document config.Document `json:"document"`
}

func (n *Node) serveDocument(w http.ResponseWriter, _ *http.Request) {
	var d HeldDocument
	n.Ask(func(c *control.Core) {
		_, held := c.Config()
		d = HeldDocument{held.Lineage, held.Version, c.Document()}
	})
	writeJSON(w, d)
}

func (n *Node) serveExplain(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	writeJSON(w, n.gateway.Explain(q.Get("host"), q.Get("path"), config.Tenant(q.Get("tenant"))))
}

func (n *Node) serveDrain(w http.ResponseWriter, _ *http.Request) {
	n.targets.drain()
	writeJSON(w, n.Status())
}

// Version returns the configuration version that the node's calls follow.
func (n *Node) Version() config.Version { return n.gateway.Version() }

// Endpoints returns how many targets of a service the node can choose from.
func (n *Node) Endpoints(s config.ServiceName) int { return n.gateway.Endpoints(s) }

// Ready reports whether the node may serve.
func (n *Node) Ready() bool { return n.ready.Load() }

// Known returns how many live nodes the node has records of.
func (n *Node) Known() int { return int(n.known.Load()) }
