// Package cluster holds the dynamic configuration: its objects, their validation, and the immutable state that the
// request path reads.
package cluster

import (
	"fmt"

	"lavendermoor.example/api/operatorv1"
)

// Type is the type of an object, as in operatorv1.ObjectRef.
type Type string

// The object types.
const (
	TypeModel    Type = "model"
	TypeGroup    Type = "group"
	TypeServer   Type = "server"
	TypeService  Type = "service"
	TypeCustomer Type = "customer"
	TypeRule     Type = "rule"
	TypeOperator Type = "operator"
	TypeLimits   Type = "limits"
)

// Types lists all object types in display order.
var Types = []Type{
	TypeModel, TypeGroup, TypeServer, TypeService, TypeCustomer, TypeRule, TypeOperator, TypeLimits,
}

// LimitsName is the name of the only object of TypeLimits.
const LimitsName = "limits"

// Ref identifies an object.
type Ref struct {
	Type Type
	Name string
}

// String returns "type/name".
func (r Ref) String() string { return fmt.Sprintf("%s/%s", r.Type, r.Name) }

// Proto returns the reference as a message.
func (r Ref) Proto() *operatorv1.ObjectRef {
	return &operatorv1.ObjectRef{Type: string(r.Type), Name: r.Name}
}

// RefOf returns the reference to an object, the zero Ref for an object without content.
func RefOf(o *operatorv1.Object) Ref {
	switch k := o.GetKind().(type) {
	case *operatorv1.Object_Model:
		return Ref{TypeModel, k.Model.GetName()}
	case *operatorv1.Object_Group:
		return Ref{TypeGroup, k.Group.GetName()}
	case *operatorv1.Object_Server:
		return Ref{TypeServer, k.Server.GetName()}
	case *operatorv1.Object_Service:
		return Ref{TypeService, k.Service.GetName()}
	case *operatorv1.Object_Customer:
		return Ref{TypeCustomer, k.Customer.GetName()}
	case *operatorv1.Object_Rule:
		return Ref{TypeRule, k.Rule.GetName()}
	case *operatorv1.Object_Operator:
		return Ref{TypeOperator, k.Operator.GetName()}
	case *operatorv1.Object_Limits:
		return Ref{TypeLimits, LimitsName}
	}
	return Ref{}
}

// RefFromProto returns the reference in a message.
func RefFromProto(r *operatorv1.ObjectRef) Ref { return Ref{Type(r.GetType()), r.GetName()} }
