//! Tests of `requests`.

use super::*;

/// An invalid query is rejected with a response that names the invalid parameter; no value is guessed.
#[test]
fn valid_queries_parse_and_invalid_ones_name_the_parameter() {
    let ok = parse_operator_request("jobs", "after=job-000412&limit=7&state=live&team=core");
    let Some(Ok(OperatorRequest::ListJobs(list))) = ok else { panic!("{ok:?}") };
    assert_eq!((list.after, list.limit, list.state), (Some(JobId(412)), 7, Some(StateFilter::Active)));
    for (path, query, expected_text) in [
        ("jobs", "after=412", "after"),
        ("jobs", "limit=0", "limit"),
        ("jobs", "limit=100000", "limit"),
        ("jobs", "state=lost", "state"),
        ("jobs", "colour=red", "colour"),
        ("jobs", "limit", "name=value"),
        ("jobs/job-000001/explain", "task=x", "task"),
        ("jobs/job-000001", "after=-1", "after"),
    ] {
        let Some(Err(response)) = parse_operator_request(path, query) else { panic!("{path}?{query}") };
        let body = String::from_utf8_lossy(&response.body).to_string();
        assert!(response.status == 400 && body.contains(expected_text), "{path}?{query}: {body}");
    }
    assert_eq!(
        parse_operator_request("jobs/412", "").and_then(Result::err).map(|response| response.status),
        Some(404)
    );
    assert!(parse_operator_request("jobs/job-000001/colour", "").is_none());
}
