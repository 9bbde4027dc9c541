namespace cpp Chicorytally.Messages

struct UpstreamCount {
    1: required i64 upstream,
    2: required i32 openFlows,
    /// Time since the upstream started; absent if the sender doesn't know it.
    3: optional i32 startAgeMilliseconds,
}

/// Open flows of the sender or, if lostOpener is set, of an opener that was lost.
struct UpstreamCounts {
    1: required list<UpstreamCount> counts,
    2: optional i64 incarnation,
    /// Openers among which the sender computes its shares, including itself.
    3: optional list<i64> openers,
    /// The lost opener to which the counts belong; they are upper bounds.
    4: optional i64 lostOpener,
    /// Time since the loss of the opener was confirmed.
    5: optional i32 lostForMilliseconds,
    /// Increases with every message of an incarnation; counts that arrive after newer ones are ignored.
    6: optional i64 order,
}

struct HealthResult {
    1: required i64 upstream,
    2: required bool healthy,
    3: optional i32 latencyMicroseconds,
    4: optional i32 reportedConnections,
    5: optional i32 reportedBusySlots,
    /// Start time or generation reported by the upstream; a change indicates a restart.
    6: optional i64 generation,
    7: optional i32 ageMilliseconds,
}

struct HealthResults {
    1: required list<HealthResult> results,
}

enum UpstreamReportKind {
    /// Neither traffic nor a probe was answered.
    Unanswered = 1,
    /// The upstream answers probes, but requests fail or get no response.
    Failing = 2,
    /// The upstream refused connections and accepts them again. Ignored by balancers of earlier versions.
    Returned = 3,
}

/// A fault of an upstream that a balancer detected.
struct UpstreamReport {
    1: required i64 upstream,
    2: required UpstreamReportKind kind,
    /// The balancer that detected the fault; may differ from the sender.
    3: required i64 reporter,
}

struct UpstreamReports {
    1: required list<UpstreamReport> reports,
}

/// What balancers have observed of upstreams, and addresses of balancers. Passed on from balancer to balancer.
struct LoadReports {
    /// Version of the records; receivers ignore records of other versions.
    1: optional i16 recordVersion,
    /// Format: LibRelay/LoadReportCodec.h.
    2: optional binary records,
    /// Balancers that were heard of recently. Format: LibRelay/PeerView.h.
    3: optional binary peers,
    /// The sender doesn't know the receiver or knows few balancers, and asks for addresses.
    4: optional bool wantsPeers,
    /// The sender's estimate of the number of balancers.
    5: optional i32 fleetSize,
}

union LoadMessage {
    1: UpstreamCounts upstreamCounts,
    2: HealthResults healthResults,
    3: UpstreamReports upstreamReports,
    4: LoadReports loadReports,
}
