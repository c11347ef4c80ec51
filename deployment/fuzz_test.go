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

// maxMessageDepth bounds the nesting of generated messages.
const maxMessageDepth = 4

// sampleStrings are the values of generated string fields: identifiers that occur in the state of
// a test, and others.
var sampleStrings = []string{"", "s", "u0", "u1", "ada", "r1", "\x00\xff", "10.0.0.1:80", "streaming", "h", "/a/"}

// arbitrary fills a message with arbitrary fields, some of them absent.
func arbitrary[M proto.Message](t *rapid.T, message M) M {
	fillMessage(t, message.ProtoReflect(), maxMessageDepth)
	return message
}

func fillMessage(t *rapid.T, message protoreflect.Message, depth int) {
	fields := message.Descriptor().Fields()
	for i := range fields.Len() {
		field := fields.Get(i)
		if field.IsMap() || rapid.IntRange(0, 2).Draw(t, "absent") == 0 {
			continue
		}
		if field.IsList() {
			fillList(t, message.Mutable(field).List(), field, depth)
			continue
		}
		if field.Message() != nil {
			if depth > 0 {
				fillMessage(t, message.Mutable(field).Message(), depth-1)
			}
			continue
		}
		message.Set(field, drawScalar(t, field))
	}
}

func fillList(t *rapid.T, list protoreflect.List, field protoreflect.FieldDescriptor, depth int) {
	if field.Message() == nil {
		for range rapid.IntRange(0, 2).Draw(t, "values") {
			list.Append(drawScalar(t, field))
		}
		return
	}
	if depth == 0 {
		return
	}
	for range rapid.IntRange(0, 3).Draw(t, "messages") {
		fillMessage(t, list.AppendMutable().Message(), depth-1)
	}
}

func drawScalar(t *rapid.T, field protoreflect.FieldDescriptor) protoreflect.Value {
	switch field.Kind() {
	case protoreflect.BoolKind:
		return protoreflect.ValueOfBool(rapid.Bool().Draw(t, "bool"))
	case protoreflect.StringKind:
		return protoreflect.ValueOfString(rapid.SampledFrom(sampleStrings).Draw(t, "string"))
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

// makeReady gives a router a configuration and a number of upstreams.
func (n *node) makeReady(upstreams int) {
	n.state.Configure(testConfiguration(1), "test")
	var list []registry.Change
	for i := range upstreams {
		list = append(list, registry.Change{Revision: registry.Revision(i + 1), Upstream: registry.Upstream{
			ID: fleet.UpstreamID(fmt.Sprintf("u%d", i)), Service: "s", Address: fmt.Sprintf("10.0.0.%d:80", i), Slots: 2, StartTime: 1,
		}})
	}
	n.state.ReplaceUpstreams(list, registry.Revision(upstreams+1), "test")
}

// requestTurn requests a turn and releases it.
func (n *node) requestTurn() {
	pool := n.state.Pool("s")
	if pool == nil {
		return
	}
	ticket, err := pool.Submit(time.Now(), turn.Request{Account: "ada", Input: 1000})
	if err == nil && ticket.Cancel(time.Now()) == nil {
		ticket.End(time.Now(), turn.Unsent)
	}
}

// Guards against a router that crashes, or loses its configuration, because of a message from
// another router.
func TestRouterSurvivesArbitraryMessages(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		n := newUnconnectedNode("self")
		n.makeReady(rapid.IntRange(0, 3).Draw(t, "upstreams"))
		for range rapid.IntRange(1, 6).Draw(t, "steps") {
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				n.state.ApplyUpstreamsFromPeer(arbitrary(t, &schema.Knowledge{}), "test")
			case 1:
				n.state.Configure(deployment.DecodeConfiguration(arbitrary(t, &schema.Configuration{})), "test")
			case 2:
				n.requestTurn()
			default:
				n.mesh.Receive(rapid.SampledFrom([]fleet.RouterID{"r1", "r2", ""}).Draw(t, "router"), arbitrary(t, &schema.Batch{}))
			}
		}
		require.NotNil(t, n.state.Table())
	})
}

// Guards against a router that crashes because of the parameters of another router's call.
func FuzzKnowledgeRequest(f *testing.F) {
	f.Add(`{"configuration-version":1,"upstream-revision":0,"configuration-encoding":"deflate"}`)
	f.Add(`{"upstream-revision":18446744073709551615}`)
	f.Add(`{"configuration-version":-1}`)
	f.Add(`null`)
	f.Add(``)
	n := newNode(f, "self")
	n.makeReady(2)
	f.Fuzz(func(t *testing.T, request string) {
		_, _ = n.mesh.AnswerKnowledgeRequest(request) // must not panic; an error is fine
	})
}

// Guards against a router that crashes because of a malformed message.
func FuzzBatch(f *testing.F) {
	f.Add([]byte{})
	seed, err := proto.Marshal(&schema.Batch{TurnAsks: []*schema.TurnAsk{{Id: 1, Service: "s", Input: 5}}, TurnNotes: []*schema.TurnNote{{Id: 1}}})
	require.NoError(f, err)
	f.Add(seed)
	n := newNode(f, "self")
	n.makeReady(2)
	f.Fuzz(func(t *testing.T, data []byte) {
		var batch schema.Batch
		if proto.Unmarshal(data, &batch) == nil {
			n.mesh.Receive("r1", &batch)
		}
	})
}

// Guards against a router that crashes, or allocates unbounded memory, because of a compressed
// configuration from another router.
func FuzzConfiguration(f *testing.F) {
	compressed, err := deployment.Deflate(deployment.EncodeConfiguration(testConfiguration(1)))
	require.NoError(f, err)
	f.Add(compressed)
	f.Add([]byte{0})
	f.Fuzz(func(t *testing.T, data []byte) {
		message := &schema.Configuration{}
		if deployment.Inflate(data, message) != nil {
			return
		}
		state := newState()
		state.Configure(deployment.DecodeConfiguration(message), "test")
	})
}
