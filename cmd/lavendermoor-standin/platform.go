package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"

	"github.com/gorilla/mux"

	"lavendermoor.example/standin/kvserver"
	"lavendermoor.example/standin/replicaserver"
)

// platformError reports that the numbers of listen addresses, advertised addresses and model replicas do not match.
type platformError struct{ listeners, advertised, models int }

func (e *platformError) Error() string {
	return fmt.Sprintf("%d listen addresses and %d advertised addresses do not match %d model replicas: -listen needs one "+
		"address for the store, two for each model replica (for other instances and for its own) and one for each plain "+
		"replica; -advertise needs one address for each replica", e.listeners, e.advertised, e.models)
}

// platformHandlers returns the handlers of a stand-in for the users' platform: its store, the model replicas, which are
// the ranks of one group, and the replicas of a plain service. They share the state of this process.
func platformHandlers(ctx context.Context, o options) (func(i int) http.Handler, error) {
	listeners, advertised := len(strings.Split(o.listen, ",")), strings.Split(o.advertise, ",")
	plainReplicas := len(advertised) - o.models
	if o.models < 1 || plainReplicas < 0 || listeners != 1+2*o.models+plainReplicas {
		return nil, &platformError{listeners: listeners, advertised: len(advertised), models: o.models}
	}
	store, log := kvserver.New(), &replicaserver.RunLog{}
	group := replicaserver.NewGroup(o.models)
	go group.Run(ctx)
	handlers := []http.Handler{platformStoreHandler(store, group, log)}
	for i, address := range advertised {
		replicaGroup := group
		if i >= o.models {
			replicaGroup = nil
		}
		r := replicaserver.NewReplica(fmt.Sprintf("i-%d", i), address, fmt.Sprintf("domain-%d", i%2), replicaGroup, i, log)
		go r.Register(ctx, store)
		handlers = append(handlers, r.Handler(false))
		if replicaGroup != nil {
			handlers = append(handlers, r.Handler(true))
		}
	}
	return func(i int) http.Handler { return handlers[i] }, nil
}

// platformStoreHandler returns the handler of the store and of the routes through which tests inspect the replicas.
func platformStoreHandler(store *kvserver.Server, group *replicaserver.Group, log *replicaserver.RunLog) http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/standin/runs", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(log.Runs()) // A write fails only if the client has disconnected.
	}).Methods(http.MethodGet)
	r.HandleFunc("/standin/arrivals", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(log.Arrivals())
	}).Methods(http.MethodGet)
	r.HandleFunc("/standin/group", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(group.Counts())
	}).Methods(http.MethodGet)
	r.PathPrefix("/").Handler(store.PlatformHandler())
	return r
}
