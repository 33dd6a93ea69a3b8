//! Tests of `http`.

use super::*;

#[test]
fn request_is_partial_until_its_last_byte() {
    let text = b"POST /work HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nabcdGET";
    for cut in 0..text.len() - 3 {
        assert_eq!(parse_request(&text[..cut]), Parsed::Partial, "cut at {cut}");
    }
    let Parsed::Complete(request, consumed) = parse_request(text) else {
        panic!("expected a complete message");
    };
    assert_eq!(
        (request.path.as_str(), request.body.as_slice(), consumed),
        ("/work", &b"abcd"[..], text.len() - 3)
    );
    assert!(request.keep_alive);
}

#[test]
fn chunked_bodies_are_parsed() {
    let text = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2;x=y\r\nde\r\n0\r\n\r\n";
    let Parsed::Complete(response, consumed) = parse_response(text, 100) else {
        panic!("expected a complete message");
    };
    assert_eq!((response.status, response.body.as_slice(), consumed), (200, &b"abcde"[..], text.len()));
    assert_eq!(parse_response(text, 4), Parsed::TooLong);
}

#[test]
fn malformed_requests_are_rejected() {
    for text in [
        "GET\r\n\r\n",
        "GET /x HTTP/2\r\n\r\n",
        "get /x HTTP/1.1\r\n\r\n",
        "GET x HTTP/1.1\r\n\r\n",
        "POST / HTTP/1.1\r\nContent-Length: 70000\r\n\r\n",
        "POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n",
        "POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n",
        "POST / HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
        "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
        "GET / HTTP/1.1\r\nno colon\r\n\r\n",
    ] {
        assert_eq!(parse_request(text.as_bytes()), Parsed::Malformed, "{text:?}");
    }
    assert_eq!(parse_request(&[b'a'; MAX_HEAD_BYTES]), Parsed::Malformed);
}
