//! Plans: the examples are good, what is wrong is named, arrivals follow the plan and its seed.

use std::path::Path;

use olivelatch_scale_test::{Arrival, Arrivals, Plan};

fn examples() -> Vec<std::path::PathBuf> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/scale");
    std::fs::read_dir(folder).expect("the examples").flatten().map(|entry| entry.path()).collect()
}

fn small() -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/scale/small.hcl");
    std::fs::read_to_string(path).expect("the small plan")
}

fn arrivals(text: &str) -> Vec<Arrival> {
    let plan = Plan::parse("small", text).expect("a plan");
    let mut arrivals = Arrivals::new(&plan);
    std::iter::from_fn(|| arrivals.pop_due(u64::MAX)).collect()
}

#[test]
fn the_examples_are_good() {
    let plans = examples();
    assert!(plans.len() >= 3, "{plans:?}");
    for path in plans {
        Plan::load(&path).expect("a good plan");
    }
}

#[test]
fn what_is_wrong_is_named() {
    let wrong = |from: &str, to: &str| {
        let text = small().replacen(from, to, 1);
        assert_ne!(text, small(), "{from}");
        Plan::parse("p.hcl", &text).expect_err("wrong").to_string()
    };
    assert!(wrong("controllers = 3", "controllers = 0").contains("controllers: expected 1 to 100, not 0"));
    assert!(wrong("controllers = 3", "controllers = 300").contains("controllers: expected"));
    assert!(wrong("up_at_start    = 30", "up_at_start    = 90").contains("machine small: up_at_start"));
    assert!(wrong("seed        = 1", "seeds       = 1").contains("line "));
    let cut = wrong(
        "kind   = \"kill_leader\"\n  at_s   = 15\n  back_s = 3",
        "kind = \"cut_zones\"\n  at_s = 1\n  for_s = 2\n  zones = [\"west\"]",
    );
    assert!(cut.contains("fault a leader ends: zones: expected one of north-a, north-b, not west"), "{cut}");
}

#[test]
fn a_seed_gives_the_same_jobs_at_the_planned_rate() {
    let jobs = arrivals(&small());
    assert_eq!(jobs, arrivals(&small()));
    assert_ne!(jobs, arrivals(&small().replacen("seed        = 1", "seed        = 2", 1)));
    assert!(jobs.windows(2).all(|pair| pair[0].at_ms <= pair[1].at_ms), "in the order of their times");
    // A longer load, so that chance matters little: 40 starts a second were planned.
    let long = small().replacen("seconds      = 30", "seconds      = 3000", 1);
    let starts: u32 = arrivals(&long).iter().map(|job| job.tasks).sum();
    let per_s = f64::from(starts) / 3000.0;
    assert!((36.0..44.0).contains(&per_s), "{per_s}");
}
