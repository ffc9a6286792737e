package main

import (
	"fmt"
	"net/http"
	"time"
)

// twoRoutes returns a configuration whose second route is there from version 2 on.
func twoRoutes(version int) string {
	const service = `{"name":%q,"health_path":"/health","max_connections":110,"protocol":"h1","tls":false}`
	const route = `{"name":"r-%s","host":"sheets.example","path_prefix":"/%s/","route_type":"safe","timeout_ms":5000,"target_latency_ms":800,"priority":2,"service":%q,"max_attempts":2}`
	routes, services := fmt.Sprintf(route, "first", "first", "archivo"), fmt.Sprintf(service, "archivo")
	if version > 1 {
		routes += "," + fmt.Sprintf(route, "later", "later", "agenda-visitas")
		services += "," + fmt.Sprintf(service, "agenda-visitas")
	}
	return fmt.Sprintf(`{"version":%d,"routes":[%s],"services":[%s],"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`,
		version, routes, services)
}

// strayDraining plays one heartbeat of another writer for each leaf of a service: with the
// leaf's ID, a service that isn't named in the configuration, and the state draining. The
// leafs' own heartbeats go on and hold. The route to the service, which was added by a later
// version, must be served as often as the first one.
func strayDraining(wo *world) error {
	if err := wo.start(); err != nil {
		return err
	}
	zones := []string{"miraflores", "surquillo", "san-isidro"}
	var later []*leaf
	for _, service := range []string{"archivo", "agenda-visitas"} {
		for ix, zone := range zones {
			id := fmt.Sprintf("i-%s-%d", service, ix)
			lf, err := wo.startLeaf(id, service, zone, 0)
			if err != nil {
				return err
			}
			go lf.announce()
			if service != "archivo" {
				later = append(later, lf)
			}
		}
	}
	if err := wo.configure(twoRoutes(1)); err != nil {
		return err
	}
	time.Sleep(time.Second)
	if err := wo.configure(twoRoutes(2)); err != nil {
		return err
	}
	time.Sleep(contactWindow)
	wo.count("before", 40)
	if wo.trouble {
		for _, lf := range later {
			lf.otherBeat(wo.controls[1], "draining", 0)
		}
	}
	time.Sleep(15 * time.Second)
	first, second := wo.count("after", 100)
	if first < 50 {
		return fmt.Errorf("only %d of 100 requests on the first route were served", first)
	}
	if 4*second < first {
		return fmt.Errorf("%w: of 100 requests each, %d were served on the first route and %d on the one that was added later", errBroken, first, second)
	}
	return nil
}

// count sends requests to both routes, ten a second, and returns how many were served.
func (wo *world) count(when string, requests int) (first, later int) {
	statuses := map[string]map[int]int{"first": {}, "later": {}}
	for ix := range requests {
		for _, path := range []string{"first", "later"} {
			in := wo.entries[ix%len(wo.entries)]
			an := wo.request(in, "GET", "sheets.example", "/"+path+"/2f", "", newID(), 2*time.Second)
			statuses[path][an.status]++
			wo.rec.note("client: request %s on route %s to %s: %d %s", an.id, path, in.name, an.status, an.body)
		}
		time.Sleep(50 * time.Millisecond)
	}
	wo.rec.note("%s: answers by status: first route %v, later route %v", when, statuses["first"], statuses["later"])
	return statuses["first"][http.StatusOK], statuses["later"][http.StatusOK]
}
