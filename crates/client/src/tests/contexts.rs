//! Tests of `contexts`.

use super::*;

#[test]
fn contexts_round_trip_and_errors_name_the_problem() {
    let addr = |port| SocketAddr::from(([127, 0, 0, 1], port));
    let context = Context { controllers: vec![addr(1), addr(2)], job_store: Some(addr(3)) };
    let contexts: Contexts = hcl::from_str(&Contexts::to_hcl("local", &context)).expect("HCL");
    assert_eq!(contexts.select("f", None).expect("a context"), context);
    let problem = contexts.select("f", Some("far")).expect_err("unknown").to_string();
    assert_eq!(problem, "f: no context named \"far\"; the file has: local");
    assert!(hcl::from_str::<Contexts>("context \"a\" {\n  colour = 1\n}\n").is_err());
}
