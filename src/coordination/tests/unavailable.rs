//! Tests of the responses with status 503.

use super::*;

/// Clients and operators read these texts.
#[test]
fn responses_name_the_reason_and_the_retry_delay() {
    for (reason, text, retry_after_s) in [
        (Unavailable::CannotDecide, "the request cannot be decided now: retry later", 1),
        (
            Unavailable::WriteOutcomeUnknown,
            "the write was not confirmed by the key-value store: repeat the request",
            1,
        ),
        (
            Unavailable::WriteAcknowledgedLate,
            "the write was stored, but its confirmation came too late: repeat the request",
            1,
        ),
        (Unavailable::MachineTypesUnknown, "the machine types have not been loaded yet", 1),
        (Unavailable::KvUnreachable, "the key-value store does not respond to this controller", 1),
        (Unavailable::CacheLoading, "the stored records are still being loaded", 1),
        (Unavailable::ReadBarrierTimeout, "no read of the key-value store completed in time", 1),
        (Unavailable::TooManyQueries, "too many operators' queries are waiting", 1),
        (Unavailable::QueryRateExceeded, "too many operators' queries per second", 1),
        (Unavailable::ForwardedQueryRefused, "does not lead, or too many questions", 1),
        (Unavailable::LeaderUnresponsive, "the leader does not answer", 1),
        (Unavailable::NoLeaderForQuery, "there is no leader to answer the query", 1),
        (Unavailable::NoLeaderForHeartbeat, "no leader", 1),
        (Unavailable::HeartbeatRejected, "this controller must not renew the machine's lease now", 1),
        (Unavailable::RunCancelling, "the run is being cancelled", 1),
        (Unavailable::UncommittedPartLimit, "too many graph parts are stored without a commit", 10),
        (Unavailable::NodeLimit, "too many graph nodes are stored now", 30),
    ] {
        let expected = HttpResponse::retry_later(text, retry_after_s);
        assert_eq!(HttpResponse::from(reason), expected, "{reason:?}");
    }
}
