package deployment_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
	"pgregory.net/rapid"

	"nutmeglock.example/nutmeglock/deployment"
	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/registry"
	"nutmeglock.example/nutmeglock/schema"
	"nutmeglock.example/nutmeglock/turn"
)

// absurdDepth bounds how deep messages of a test are nested.
const absurdDepth = 4

// names are those of the services, upstreams and accounts that the state of a test has, and others.
var names = []string{"", "s", "u0", "u1", "ada", "r1", "\x00\xff", "10.0.0.1:80", "streaming", "h", "/a/"}

// absurd draws a message whose fields are absent or have any content.
func absurd[M proto.Message](t *rapid.T, message M) M {
	draw(t, message.ProtoReflect(), absurdDepth)
	return message
}

func draw(t *rapid.T, message protoreflect.Message, depth int) {
	fields := message.Descriptor().Fields()
	for i := range fields.Len() {
		field := fields.Get(i)
		if field.IsMap() || rapid.IntRange(0, 2).Draw(t, "absent") == 0 {
			continue
		}
		if field.IsList() {
			drawList(t, message.Mutable(field).List(), field, depth)
			continue
		}
		if field.Message() != nil {
			if depth > 0 {
				draw(t, message.Mutable(field).Message(), depth-1)
			}
			continue
		}
		message.Set(field, scalar(t, field))
	}
}

func drawList(t *rapid.T, list protoreflect.List, field protoreflect.FieldDescriptor, depth int) {
	if field.Message() == nil {
		for range rapid.IntRange(0, 2).Draw(t, "values") {
			list.Append(scalar(t, field))
		}
		return
	}
	if depth == 0 {
		return
	}
	for range rapid.IntRange(0, 3).Draw(t, "messages") {
		draw(t, list.AppendMutable().Message(), depth-1)
	}
}

func scalar(t *rapid.T, field protoreflect.FieldDescriptor) protoreflect.Value {
	switch field.Kind() {
	case protoreflect.BoolKind:
		return protoreflect.ValueOfBool(rapid.Bool().Draw(t, "bool"))
	case protoreflect.StringKind:
		return protoreflect.ValueOfString(rapid.SampledFrom(names).Draw(t, "string"))
	case protoreflect.BytesKind:
		return protoreflect.ValueOfBytes(rapid.SliceOfN(rapid.Byte(), 0, 16).Draw(t, "bytes"))
	case protoreflect.DoubleKind:
		return protoreflect.ValueOfFloat64(rapid.SampledFrom([]float64{0, 1, -1, math.MaxFloat64, math.Inf(1), math.NaN()}).Draw(t, "double"))
	case protoreflect.Int64Kind, protoreflect.Sint64Kind:
		return protoreflect.ValueOfInt64(rapid.SampledFrom([]int64{0, 1, -1, math.MaxInt64, math.MinInt64}).Draw(t, "int"))
	case protoreflect.Uint64Kind, protoreflect.Fixed64Kind:
		return protoreflect.ValueOfUint64(rapid.SampledFrom([]uint64{0, 1, 2, 7, math.MaxInt64, math.MaxUint64}).Draw(t, "uint"))
	case protoreflect.EnumKind:
		return protoreflect.ValueOfEnum(rapid.SampledFrom([]protoreflect.EnumNumber{0, 1, 2, 77, -1}).Draw(t, "enum"))
	case protoreflect.Uint32Kind, protoreflect.Fixed32Kind:
		return protoreflect.ValueOfUint32(rapid.SampledFrom([]uint32{0, 1, 2, 5, 1000, math.MaxInt32, math.MaxUint32}).Draw(t, "uint"))
	}
	panic(fmt.Sprintf("fields of kind %v are not drawn", field.Kind()))
}

// ready gives a router a configuration and upstreams.
func (n *node) ready(upstreams int) {
	n.state.Configure(configuration(1), "test")
	var list []registry.Change
	for i := range upstreams {
		list = append(list, registry.Change{Revision: registry.Revision(i + 1), Upstream: registry.Upstream{
			ID: fleet.UpstreamID(fmt.Sprintf("u%d", i)), Service: "s", Address: fmt.Sprintf("10.0.0.%d:80", i), Slots: 2, Life: 1,
		}})
	}
	n.state.ReplaceUpstreams(list, registry.Revision(upstreams+1), "test")
}

// ask asks for a turn, and gives it back.
func (n *node) ask() {
	pool := n.state.Pool("s")
	if pool == nil {
		return
	}
	ticket, err := pool.Ask(time.Now(), turn.Demand{Account: "ada", Input: 1000})
	if err == nil && ticket.GiveUp(time.Now()) == nil {
		ticket.End(time.Now(), turn.Unsent)
	}
}

// Guards against a router that ends, or stops to serve, because of what another one sent.
func TestRouterOutlivesAnyMessageOfAnother(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		n := unconnected("self")
		n.ready(rapid.IntRange(0, 3).Draw(t, "upstreams"))
		for range rapid.IntRange(1, 6).Draw(t, "steps") {
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				n.state.ReceiveUpstreams(absurd(t, &schema.Knowledge{}).GetUpstreams(), registry.Revision(rapid.Uint64().Draw(t, "complete")), "test")
			case 1:
				n.state.Configure(deployment.DecodeConfiguration(absurd(t, &schema.Configuration{})), "test")
			case 2:
				n.ask()
			default:
				n.mesh.Receive(rapid.SampledFrom([]fleet.RouterID{"r1", "r2", ""}).Draw(t, "router"), absurd(t, &schema.Batch{}))
			}
		}
		require.NotNil(t, n.state.Table())
	})
}

// Guards against a router that ends because of the parameters of another one's call.
func FuzzQuestion(f *testing.F) {
	f.Add(`{"configuration-version":1,"upstream-revision":0,"configuration-encoding":"deflate"}`)
	f.Add(`{"upstream-revision":18446744073709551615}`)
	f.Add(`{"configuration-version":-1}`)
	f.Add(`null`)
	f.Add(``)
	n := newNode(f, "self")
	n.ready(2)
	f.Fuzz(func(t *testing.T, question string) {
		_, _ = n.mesh.Answer(question) // an error is as good as an answer
	})
}

// Guards against a router that ends because of a message that can be read only in part.
func FuzzBatch(f *testing.F) {
	f.Add([]byte{})
	seed, err := proto.Marshal(&schema.Batch{TurnAsks: []*schema.TurnAsk{{Id: 1, Service: "s", Input: 5}}, TurnNotes: []*schema.TurnNote{{Id: 1}}})
	require.NoError(f, err)
	f.Add(seed)
	n := newNode(f, "self")
	n.ready(2)
	f.Fuzz(func(t *testing.T, data []byte) {
		var batch schema.Batch
		if proto.Unmarshal(data, &batch) == nil {
			n.mesh.Receive("r1", &batch)
		}
	})
}

// Guards against a router that ends, or takes memory without bound, because of a configuration
// that another one sent.
func FuzzConfiguration(f *testing.F) {
	plain, err := deployment.Deflate(deployment.EncodeConfiguration(configuration(1)))
	require.NoError(f, err)
	f.Add(plain)
	f.Add([]byte{0})
	f.Fuzz(func(t *testing.T, data []byte) {
		message, err := deployment.Inflate(data)
		if err != nil {
			return
		}
		state := newState()
		state.Configure(deployment.DecodeConfiguration(message), "test")
	})
}
