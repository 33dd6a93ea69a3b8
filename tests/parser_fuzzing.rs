//! Random and corrupted input for every parser. Input is parsed or rejected; a parser never panics and never returns
//! more data than it was given. The random generator is deterministic, so that all runs have the same cases.

use olivelatch::protocol::operators::parse_operator_request;
use olivelatch::protocol::peer::{LeaderQuery, PeerMessage, decode, encode};
use olivelatch::protocol::users::parse_submission;
use olivelatch::protocol::workers::parse_heartbeat;
use olivelatch::settings::Settings;
use olivelatch::tunables::Tunables;
use olivelatch_net::http::{Parsed, parse_request, parse_response};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

const CASES: u32 = 2_000;

fn runner() -> TestRunner {
    let config = Config { cases: CASES, failure_persistence: None, ..Config::default() };
    TestRunner::new_with_rng(config, TestRng::deterministic_rng(RngAlgorithm::ChaCha))
}

fn random_bytes() -> impl Strategy<Value = Vec<u8>> {
    proptest::collection::vec(any::<u8>(), 0..400)
}

/// Returns `text` with some of its bytes replaced, truncated to a random length.
fn corrupted_bytes(text: &'static [u8]) -> impl Strategy<Value = Vec<u8>> {
    let changes = proptest::collection::vec((0..text.len(), any::<u8>()), 0..6);
    (changes, 0..=text.len()).prop_map(move |(changes, length)| {
        let mut bytes = text.to_vec();
        changes.into_iter().for_each(|(index, byte)| bytes[index] = byte);
        bytes.truncate(length);
        bytes
    })
}

#[test]
fn operator_requests_are_parsed_or_rejected() {
    let path = "(jobs|status|job-[0-9]{1,20}|explain|events|/|\\?|%|[a-z0-9]{0,9}){0,6}";
    let query = "((after|limit|team|class|state|task)?=?[a-z0-9-]{0,20}&?){0,6}";
    let checked = runner().run(&(path, query), |(path, query)| {
        if let Some(Err(response)) = parse_operator_request(&path, &query) {
            prop_assert!([400, 404].contains(&response.status));
            prop_assert!(response.body.len() < 1000);
        }
        Ok(())
    });
    checked.expect("every request is parsed or rejected");
}

const SUBMISSION: &[u8] = br#"{"uid":"job-000412","jobclass":"c","owner":"o","shape":"gang","urgency":"high","pieces":16,
    "vcpus":8.0,"accelerators":1.0,"memory_gb":64.0,"bundle":"i","size_gb":6.2,"boxkinds":["g8"],"hall":null,"together":true,
    "scatter":false,"loaners":true,"guess_s":240.0,"snapshot_s":30.0,"flush_s":4.0,"due_s":900.0}"#;

#[test]
fn user_and_worker_bodies_are_parsed_or_rejected() {
    let checked = runner().run(&(corrupted_bytes(SUBMISSION), random_bytes()), |(body, noise)| {
        for body in [&body, &noise] {
            if let Err(response) = parse_submission(body) {
                prop_assert_eq!(response.status, 400);
            }
            let _ = parse_heartbeat(body);
        }
        Ok(())
    });
    checked.expect("every body is parsed or rejected");
}

const REQUEST: &[u8] =
    b"POST /work HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\nConnection: close\r\n\r\nabcd";
const RESPONSE: &[u8] =
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nRetry-After: 3\r\n\r\n3\r\nabc\r\n2;x=y\r\nde\r\n0\r\n\r\n";

/// A parsed message never consumes more bytes than the buffer has.
#[test]
fn http_is_parsed_or_rejected() {
    let checked = runner().run(
        &(corrupted_bytes(REQUEST), corrupted_bytes(RESPONSE), random_bytes()),
        |(request, response, noise)| {
            for bytes in [&request, &response, &noise] {
                if let Parsed::Complete(request, consumed) = parse_request(bytes) {
                    prop_assert!(consumed <= bytes.len() && request.body.len() <= bytes.len());
                }
                if let Parsed::Complete(response, consumed) = parse_response(bytes, 1000) {
                    prop_assert!(consumed <= bytes.len() && response.body.len() <= bytes.len());
                }
            }
            Ok(())
        },
    );
    checked.expect("every message is parsed or rejected");
}

/// A truncated frame from a peer never decodes to the original message. A corrupted one is rejected, or decodes to
/// another message whose body is no longer than the frame.
#[test]
fn peer_messages_are_validated() {
    let messages = [
        PeerMessage::Query { query_id: 7, query: LeaderQuery::ExplainJob { job: 412, task: Some(3) } },
        PeerMessage::QueryResponse {
            query_id: 7,
            status: 503,
            retry_after_s: Some(1),
            body: b"{\"error\":\"later\"}".to_vec(),
        },
        PeerMessage::Hello { controller: "node-1".into() },
        PeerMessage::RevisionNotice { revision: u64::MAX },
        PeerMessage::ReadWatermark { revision: 412 },
    ];
    let frames: Vec<Vec<u8>> = messages.iter().map(|message| encode(message)[4..].to_vec()).collect();
    for (frame, message) in frames.iter().zip(&messages) {
        assert_eq!(decode(frame).as_ref(), Some(message));
        for cut in 0..frame.len() {
            assert!(decode(&frame[..cut]).as_ref() != Some(message), "cut at {cut}");
        }
    }
    let change = proptest::collection::vec((any::<usize>(), any::<u8>()), 1..8);
    let checked = runner().run(&(change, random_bytes(), 0..messages.len()), |(changes, noise, which)| {
        let mut frame = frames[which].clone();
        let length = frame.len();
        changes.into_iter().for_each(|(index, byte)| frame[index % length] = byte);
        for bytes in [&frame, &noise] {
            if let Some(PeerMessage::QueryResponse { body, .. }) = decode(bytes) {
                prop_assert!(body.len() <= bytes.len());
            }
        }
        Ok(())
    });
    checked.expect("every frame is decoded or rejected");
}

const TUNABLES: &[u8] = b"t = 0.5\nidle_s = 45\noperators {\n  enabled = true\n  explains_per_s = 20\n}\nlog {\n  format = \"json\"\n}\n";

#[test]
fn settings_are_parsed_or_rejected() {
    assert!(Tunables::parse("f", std::str::from_utf8(TUNABLES).expect("text")).is_ok());
    let checked = runner().run(&(corrupted_bytes(TUNABLES), random_bytes()), |(tunables, noise)| {
        for bytes in [&tunables, &noise] {
            let text = String::from_utf8_lossy(bytes);
            // An error begins with the name of the file.
            if let Err(error) = Tunables::parse("f", &text) {
                prop_assert!(error.to_string().starts_with('f'));
            }
            let _ = Settings::parse("f", &text);
        }
        Ok(())
    });
    checked.expect("every file is parsed or rejected");
}
