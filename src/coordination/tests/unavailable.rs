//! Tests of the reasons for a 503.

use super::*;

/// Clients and operators read these texts.
#[test]
fn responses_name_the_reason_and_the_retry_delay() {
    for (reason, text, retry_after_s) in [
        (Unavailable::CannotDecide, "cannot decide now", 1),
        (Unavailable::WriteOutcomeUnknown, "not certain to be stored", 1),
        (Unavailable::WriteAcknowledgedLate, "stored too long ago", 1),
        (Unavailable::MachineTypesUnknown, "machine types are not known yet", 1),
        (Unavailable::KvUnreachable, "the state service does not answer this controller", 1),
        (Unavailable::CacheLoading, "the records are being read", 1),
        (Unavailable::ReadBarrierTimeout, "no fresh answer from the state service", 1),
        (Unavailable::TooManyQueries, "too many questions", 1),
        (Unavailable::QueryRateExceeded, "too many questions a second", 1),
        (Unavailable::ForwardedQueryRefused, "does not lead, or too many questions", 1),
        (Unavailable::LeaderUnresponsive, "the leader does not answer", 1),
        (Unavailable::NoLeaderForQuery, "nobody leads", 1),
        (Unavailable::NoLeaderForHeartbeat, "no leader", 1),
        (Unavailable::HeartbeatRejected, "not entitled", 1),
        (Unavailable::RunCancelling, "the run is being cancelled", 1),
        (Unavailable::UncommittedPartLimit, "too many parts wait for their commit", 10),
        (Unavailable::NodeLimit, "too many nodes are kept now", 30),
    ] {
        let expected = HttpResponse::retry_later(text, retry_after_s);
        assert_eq!(HttpResponse::from(reason), expected, "{reason:?}");
    }
}
