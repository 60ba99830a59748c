package admission

import "fmt"

// Kind is the class of a request.
type Kind uint8

// The kinds. Short and Long are generations; the queue classifies a generation by its predicted number of tokens.
const (
	Status Kind = iota
	Command
	Short
	Long

	numKinds = 4
)

var kindNames = [numKinds]string{"status", "command", "short", "long"}

// String returns the name used in messages between processes.
func (k Kind) String() string { return kindNames[k] }

// Generation reports whether requests of the kind generate tokens.
func (k Kind) Generation() bool { return k == Short || k == Long }

// KindError reports an unknown kind.
type KindError struct{ Text string }

func (e *KindError) Error() string {
	return fmt.Sprintf("%q is not a kind of work (status, command, short, long)", e.Text)
}

// ParseKind is the inverse of Kind.String; it fails with a *KindError.
func ParseKind(s string) (Kind, error) {
	for k, name := range kindNames {
		if s == name {
			return Kind(k), nil
		}
	}
	return 0, &KindError{Text: s}
}
