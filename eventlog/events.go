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
	// LibraryMessage holds a line that a library wrote to package log, such as net/http about a response that no request
	// waits for.
	LibraryMessage = "message of a library"

	// Configuration, replicas and readers.
	ConfigurationApplied    = "configuration applied"
	ConfigurationInvalid    = "configuration invalid"
	ConfigurationWatchEnded = "watch of the configuration ended"
	EvacuationsChanged      = "evacuations changed"
	ReplicaListChanged      = "replica list changed"
	EntryUnusable           = "entry cannot be used"
	StoreGap                = "gap between answers of the store"
	StoreLost               = "store lost"
	StoreRegained           = "store regained"
	StoreRestored           = "store restored from an older copy"
	ReaderChanged           = "reader changed"
	ClaimLost               = "claim lost"
	ClaimRenewalStopped     = "renewal of a claim stopped"
	ClaimGivenUp            = "claim given up"
	PeerSilent              = "daemon did not answer"

	// Replicas.
	ReplicaPaused         = "replica paused"
	ReplicaRecovered      = "replica recovered"
	ReplicaGone           = "replica gone"
	ReplicaLeaving        = "replica leaving"
	ReplicaCold           = "replica cold"
	ReplicaHealthReceived = "replica health heard"
	// ReplicaLimited reports a replica's request limit when it is named, changes or ends, and once a second in between.
	ReplicaLimited       = "replica request limit"
	ReplicaLimitUnusable = "replica request limit cannot be used"
	HealthSocketLost     = "socket for replica health lost"
	DatagramUnusable     = "datagram cannot be used"

	// IsolationChanged reports that this daemon is partitioned from all replicas, or is no longer.
	IsolationChanged = "isolation from replicas changed"
	// IsolationPersists names the replicas that an isolated daemon has probed last, once a second.
	IsolationPersists = "isolated, replicas were probed"

	// Daemons to which this daemon delegates parts of a query.
	HelperPaused       = "helper paused"
	HelperRecovered    = "helper recovered"
	HelperSilent       = "helper silent"
	ShardsNotTaken     = "shards not taken by helper"
	HelperPartUnusable = "part of a helper cannot be used"
	// PanicContained reports a panic that was recovered: it ended one request, attempt or message, but not the process.
	PanicContained = "panic contained"

	// ReceptionLimited reports, at most once a second, that a request or connection was ended while it was received.
	ReceptionLimited = "reception limited"
	// Client accounts. AccountRefused reports that a daemon begins to refuse requests of an account because of its quota,
	// AccountWithinQuota that none was refused for some seconds.
	AccountRefused     = "account refused by its quota"
	AccountWithinQuota = "account no longer refused by its quota"
	QuotaSocketLost    = "socket for quotas lost"
	// SheddingChanged reports that queries of a priority begin to be refused in favour of higher ones, or no longer are.
	SheddingChanged = "shedding by priority changed"

	// Requests.
	RequestFailed  = "request failed"
	RequestRefused = "request refused"
	RequestPartial = "request partial"
	RequestServed  = "request served"
	CallerLeft     = "caller left"
	// AttemptWithheld reports an attempt that was not sent to a replica because the caller had left.
	AttemptWithheld = "attempt withheld"
	RequestCrashing = "request crashes replicas"
	// RequestHalfOpen reports one of several requests of which one crashes replicas.
	RequestHalfOpen = "request may crash replicas"
	// RequestLostConnections reports a request that lost connections to replicas while they may have been executing it, and
	// whether it is therefore taken for one that crashes replicas.
	RequestLostConnections = "request lost connections"

	// Responses of replicas.

	// ResponseMismatched reports a response that was refused because it does not carry the id of the request in flight.
	ResponseMismatched = "response of another request"
	// ResponseEarly reports a response that was received before its request was written.
	ResponseEarly = "response before its request"
	// RequestIDRepeated reports a connection that was closed instead of used, since it has carried a request with the same
	// id.
	RequestIDRepeated = "request id repeated on connection"
	// PartNotSuccessful reports a replica's complete response that is not a part of a query, since its status is not a
	// success.
	PartNotSuccessful = "part without a success status"
)
