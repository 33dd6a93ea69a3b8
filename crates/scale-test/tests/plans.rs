//! Plans: the examples are valid, errors name the invalid field, and arrivals follow the plan and its seed.

use std::path::Path;

use olivelatch_scale_test::{Arrival, Arrivals, Plan};

fn example_paths() -> Vec<std::path::PathBuf> {
    let directory = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/scale");
    std::fs::read_dir(directory)
        .expect("the directory of examples is readable")
        .flatten()
        .map(|entry| entry.path())
        .collect()
}

fn small_plan() -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/scale/small.hcl");
    std::fs::read_to_string(path).expect("the small plan is readable")
}

fn all_arrivals(text: &str) -> Vec<Arrival> {
    let plan = Plan::parse("small", text).expect("the plan is valid");
    let mut arrivals = Arrivals::new(&plan);
    std::iter::from_fn(|| arrivals.pop_due(u64::MAX)).collect()
}

#[test]
fn example_plans_are_valid() {
    let plans = example_paths();
    assert!(plans.len() >= 3, "{plans:?}");
    for path in plans {
        Plan::load(&path).expect("the example plan is valid");
    }
}

#[test]
fn errors_name_the_invalid_field() {
    let error_after_replacing = |from: &str, to: &str| {
        let text = small_plan().replacen(from, to, 1);
        assert_ne!(text, small_plan(), "{from}");
        Plan::parse("p.hcl", &text).expect_err("the plan is invalid").to_string()
    };
    assert!(
        error_after_replacing("controllers = 3", "controllers = 0")
            .contains("controllers: expected 1 to 100, not 0")
    );
    assert!(error_after_replacing("controllers = 3", "controllers = 300").contains("controllers: expected"));
    assert!(
        error_after_replacing("up_at_start    = 30", "up_at_start    = 90")
            .contains("machine small: up_at_start")
    );
    assert!(
        error_after_replacing("run_s     = [2, 6]", "run_s     = [6, 2]")
            .contains("job ingest: run_s: maximum minus minimum: expected 0 to 1000000, not -4")
    );
    assert!(error_after_replacing("seed        = 1", "seeds       = 1").contains("line "));
    let unknown_zone = error_after_replacing(
        "kind   = \"kill_leader\"\n  at_s   = 15\n  back_s = 3",
        "kind = \"cut_zones\"\n  at_s = 1\n  for_s = 2\n  zones = [\"west\"]",
    );
    assert!(
        unknown_zone.contains("fault a leader ends: zones: expected one of north-a, north-b, not west"),
        "{unknown_zone}"
    );
}

#[test]
fn same_seed_gives_the_same_jobs_at_the_planned_rate() {
    let jobs = all_arrivals(&small_plan());
    assert_eq!(jobs, all_arrivals(&small_plan()));
    assert_ne!(jobs, all_arrivals(&small_plan().replacen("seed        = 1", "seed        = 2", 1)));
    assert!(jobs.windows(2).all(|pair| pair[0].at_ms <= pair[1].at_ms), "arrivals come in time order");
    // A longer load, so that the measured rate is close to the planned 40 starts per second.
    let long = small_plan().replacen("seconds      = 30", "seconds      = 3000", 1);
    let starts: u32 = all_arrivals(&long).iter().map(|job| job.tasks).sum();
    let per_s = f64::from(starts) / 3000.0;
    assert!((36.0..44.0).contains(&per_s), "{per_s}");
}
