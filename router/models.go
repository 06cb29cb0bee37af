package router

import (
	"encoding/json"
	"net/http"

	"github.com/pearyard/pearyard/text"
)

type modelList struct {
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
}

type modelEntry struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

// serveModels lists the models and adapters of all services.
func (r *Router) serveModels(w http.ResponseWriter, _ *http.Request, adm *admittedRequest) {
	list := modelList{Object: "list", Data: []modelEntry{}}
	for i := range adm.text.Services {
		s := &adm.text.Services[i]
		if s.Kind != text.KindModel {
			continue
		}
		for _, dependency := range s.DependsOn {
			name := dependency.Model
			if name == "" {
				name = dependency.Adapter
			}
			if name != "" {
				list.Data = append(list.Data, modelEntry{ID: name, Object: "model", OwnedBy: s.Name})
			}
		}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(list)
}
