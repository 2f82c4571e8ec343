package eventlog

// The complete list of log events of the edge daemon. Each line of its log has one of these texts as its message.
const (
	// Process lifecycle.
	Started          = "started"
	Stopping         = "stopping"
	Stopped          = "stopped"
	SettingsReloaded = "settings read again"
	SettingsInvalid  = "settings cannot be read"
	LinesDropped     = "log lines dropped"

	// Configuration, replicas and readers.
	ConfigurationApplied    = "configuration applied"
	ConfigurationInvalid    = "configuration invalid"
	ConfigurationWatchEnded = "watch of the configuration ended"
	ReplicaListChanged      = "replica list changed"
	EntryUnusable           = "entry cannot be used"
	StoreLost               = "store lost"
	StoreRegained           = "store regained"
	ReaderChanged           = "reader changed"
	ClaimLost               = "claim lost"
	ClaimRenewalStopped     = "renewal of a claim stopped"
	ClaimGivenUp            = "claim given up"
	PeerSilent              = "daemon did not answer"

	// Replicas.
	ReplicaPaused         = "replica paused"
	ReplicaRecovered      = "replica recovered"
	ReplicaGone           = "replica gone"
	ReplicaHealthReceived = "replica health heard"
	HealthSocketLost      = "socket for replica health lost"
	DatagramUnusable      = "datagram cannot be used"

	// Daemons to which this daemon delegates parts of a query.
	HelperPaused       = "helper paused"
	HelperRecovered    = "helper recovered"
	HelperSilent       = "helper silent"
	ShardsNotTaken     = "shards not taken by helper"
	HelperPartUnusable = "part of a helper cannot be used"
	// PanicContained reports a panic that was recovered: it ended one request, attempt or message, but not the process.
	PanicContained = "panic contained"

	// Requests.
	RequestFailed   = "request failed"
	RequestRefused  = "request refused"
	RequestPartial  = "request partial"
	RequestServed   = "request served"
	CallerLeft      = "caller left"
	RequestCrashing = "request crashes replicas"
)
