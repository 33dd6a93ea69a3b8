//! Tests of the reasons why a request to change a run is rejected.

use super::*;

/// Clients read these statuses and texts.
#[test]
fn responses_name_the_reason() {
    let too_large = GraphRejection::PartTooLarge { part: 3, bytes: 5000, max_bytes: 4096 };
    for (rejection, status, text) in [
        (
            GraphRejection::PartNumbers,
            400,
            format!("parts: expected at least one, with part numbers from 0 to {}", MAX_PARTS - 1),
        ),
        (too_large, 400, "part 3 has 5000 bytes: expected at most 4096".into()),
        (GraphRejection::UnknownRun, 404, "no such run".into()),
        (GraphRejection::RunDeleting, 404, "the run is being deleted".into()),
        (
            GraphRejection::UploadExpired,
            409,
            "the run's parts were not committed in time: choose another name for it".into(),
        ),
        (GraphRejection::PartConflict(4), 409, "part 4 is already stored with different content".into()),
        (GraphRejection::PartsMissing, 409, "parts are missing: upload them first".into()),
        (GraphRejection::PartMissing(5), 409, "part 5 is missing: upload it first".into()),
        (GraphRejection::NameTaken, 409, "another run already has this name".into()),
        (
            GraphRejection::RunChanged { next_part: 6 },
            409,
            "the run has changed: its next part number is 6".into(),
        ),
        (
            GraphRejection::NodeCount { found: 7, expected: 8 },
            422,
            "expected 8 nodes in the parts, found 7".into(),
        ),
        (
            GraphRejection::ServiceNode,
            422,
            "a service runs indefinitely, so it cannot be a node of a graph".into(),
        ),
        (GraphRejection::UnknownPool("disk".into()), 422, "unknown pool disk".into()),
        (GraphRejection::JobNameTaken(JobId(412)), 422, format!("{} already exists", JobId(412))),
        (GraphRejection::InvalidGraph("a cycle".into()), 422, "a cycle".into()),
    ] {
        let expected = HttpResponse::error(status, &text);
        assert_eq!(HttpResponse::from(rejection.clone()), expected, "{rejection:?}");
    }
}
