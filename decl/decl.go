// Package decl is a library for operators. It declares data centres, services,
// shard groups, backend servers and classes as Go values and prints them as the
// canonical JSON that `hyssoppitch config apply` reads. The output does not
// depend on the order in which services and data centres are declared.
//
// Print reports all errors at once, each with its field and value, so a program
// that declares a deployment needs no checks of its own.
package decl

import (
	"fmt"
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"hyssoppitch/core/conf"
	"hyssoppitch/core/model"
)

// Deployment collects the declarations of a deployment. The zero value is an
// empty deployment, ready to use.
type Deployment struct {
	config model.Config
}

// DataCentre declares a data centre that is in service.
func (d *Deployment) DataCentre(name, region string) {
	d.config.DataCentres = append(d.config.DataCentres, model.DataCentre{
		Name: name, Region: region, State: model.DataCentreIn,
	})
}

// Class declares the deadline, priority and other properties of a class of requests.
type Class struct {
	// Name is unique within the service.
	Name string
	// Urgent requests are sent before other waiting requests.
	Urgent bool
	// NonIdempotent requests are executed at most once.
	NonIdempotent bool
	// Deadline is the time within which a request is answered, 1ms to 1m.
	Deadline time.Duration
	// LeastCoverage is the fraction of the requested keys, 0 to 1, that an answer should
	// cover. An answer that covers less is marked "thin".
	LeastCoverage float64
	// Patience is the time to wait for further groups once LeastCoverage is reached;
	// zero means until the deadline.
	Patience time.Duration
}

// Server declares one backend server.
type Server struct {
	// ID is unique within the deployment.
	ID string
	// Address is an IP address and port.
	Address string
	// DataCentre is the name of a declared data centre.
	DataCentre string
}

// Service declares a sharded index and the backend servers that hold it.
type Service struct {
	// Name is unique within the deployment.
	Name string
	// MapEpoch is the version of the shard map. It must increase whenever the division
	// of the key space among the groups changes.
	MapEpoch uint64
	// Slots is the number of requests that a server executes concurrently.
	Slots int
	// Connections is the maximum number of connections that a server accepts.
	Connections int
	// Classes contains at least one class; the first is the default.
	Classes []Class
	// Groups contains the servers of each group. The groups divide the key space
	// evenly, in this order.
	Groups [][]Server
}

// Service declares a service whose groups divide the key space evenly.
func (d *Deployment) Service(s Service) {
	out := model.Service{
		Name: s.Name, Epoch: model.MapEpoch(s.MapEpoch), Slots: s.Slots, Connections: s.Connections,
	}
	for _, c := range s.Classes {
		out.Classes = append(out.Classes, model.Class{
			Name: c.Name, Urgent: c.Urgent, NonIdempotent: c.NonIdempotent,
			Deadline: model.Duration(c.Deadline), LeastCoverage: c.LeastCoverage, Patience: model.Duration(c.Patience),
		})
	}
	for i, servers := range s.Groups {
		group := model.Group{Name: fmt.Sprintf("g%02d", i), Keys: evenRange(i, len(s.Groups))}
		for _, b := range servers {
			group.Servers = append(group.Servers, model.Server{
				ID: model.ServerID(b.ID), Address: b.Address, DataCentre: b.DataCentre,
			})
		}
		out.Groups = append(out.Groups, group)
	}
	d.config.Services = append(d.config.Services, out)
}

// evenRange returns the i-th of n equal parts of the key space.
func evenRange(i, n int) model.Range {
	return model.Range{
		From: uint32(i * model.KeySpace / n),
		To:   uint32((i + 1) * model.KeySpace / n),
	}
}

// Config returns the declared configuration, checked and in canonical order.
func (d *Deployment) Config() (c model.Config, err error) {
	defer func() { err = errors.Wrap(err, "declare deployment") }()
	c = d.config
	conf.Sort(&c)
	return c, conf.Check(&c)
}

// Print writes the canonical JSON of the declarations.
func (d *Deployment) Print(w io.Writer) (err error) {
	c, err := d.Config()
	if err != nil {
		return err
	}
	data, err := conf.Print(c)
	if err != nil {
		return err
	}
	_, err = w.Write(data)
	return errors.Wrap(err, "print deployment")
}
