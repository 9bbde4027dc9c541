namespace cpp Chicorytally.Messages

struct UpstreamCount {
    1: required i64 upstream,
    2: required i32 openFlows,
    /// Time since the upstream started, as the sender knows it; absent when the sender doesn't know.
    3: optional i32 startAgeMilliseconds,
}

/// Open flows of the sender or, with lostOpener, of an opener that is gone.
struct UpstreamCounts {
    1: required list<UpstreamCount> counts,
    2: optional i64 incarnation,
    /// Openers that the sender's shares are computed with, the sender included.
    3: optional list<i64> openers,
    /// The counts are upper bounds for this opener, which is gone.
    4: optional i64 lostOpener,
    /// How long ago the opener was confirmed gone.
    5: optional i32 lostForMilliseconds,
    /// Grows with every message of an incarnation; counts that arrive after newer ones are ignored.
    6: optional i64 order,
}

struct HealthResult {
    1: required i64 upstream,
    2: required bool healthy,
    3: optional i32 latencyMicroseconds,
    4: optional i32 reportedConnections,
    5: optional i32 reportedBusySlots,
    /// Start time or generation that the upstream reported; a change means a restart.
    6: optional i64 generation,
    7: optional i32 ageMilliseconds,
}

struct HealthResults {
    1: required list<HealthResult> results,
}

enum UpstreamReportKind {
    /// Neither traffic nor a probe got an answer.
    Unanswered = 1,
    /// It answers probes, but requests get failures or nothing at all.
    Failing = 2,
}

/// What a balancer found out about an upstream.
struct UpstreamReport {
    1: required i64 upstream,
    2: required UpstreamReportKind kind,
    /// The balancer that found it, which may not be the sender.
    3: required i64 reporter,
}

struct UpstreamReports {
    1: required list<UpstreamReport> reports,
}

union LoadMessage {
    1: UpstreamCounts upstreamCounts,
    2: HealthResults healthResults,
    3: UpstreamReports upstreamReports,
}
