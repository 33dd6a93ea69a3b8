//! Tests of `contexts`.

use super::*;

#[test]
fn what_is_written_is_read_and_what_is_wrong_is_named() {
    let addr = |port| SocketAddr::from(([127, 0, 0, 1], port));
    let context = Context { controllers: vec![addr(1), addr(2)], job_store: Some(addr(3)) };
    let contexts: Contexts = hcl::from_str(&Contexts::to_hcl("local", &context)).expect("HCL");
    assert_eq!(contexts.select("f", None).expect("a context"), context);
    let problem = contexts.select("f", Some("far")).expect_err("unknown").to_string();
    assert_eq!(problem, "f: there is no context \"far\"; it has local");
    assert!(hcl::from_str::<Contexts>("context \"a\" {\n  colour = 1\n}\n").is_err());
}
