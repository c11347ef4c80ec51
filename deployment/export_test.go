package deployment

// What the tests of the package see besides its public parts.
var (
	EncodeConfiguration = encodeConfiguration
	DecodeConfiguration = decodeConfiguration
)

// NewListener is newListener.
var NewListener = newListener
