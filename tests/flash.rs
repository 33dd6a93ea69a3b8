//! Random plans of several controllers that fail and are back at once, from seeds: the rules of the users' protocol hold at
//! every start of a task, one node leads in the end, and every accepted job ends. `SEED=17 cargo test --test flash` plays
//! one plan, `SEEDS=1000 ...` more of them; a plan that fails is printed as a scenario.

mod world;

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use world::World;

/// Plans that the checks play: the same verdict always.
const SEEDS: u64 = 24;
/// Troubles in a plan.
const TROUBLES: usize = 14;

/// What is done to the region, and undone a little later.
fn trouble(rng: &mut SmallRng, nodes: usize) -> Vec<String> {
    let node = format!("n{}", rng.random_range(0..nodes));
    let back = ["0.02", "0.04", "0.1", "0.2", "0.5", "1"][rng.random_range(0..6)];
    let soon = format!("advance {}", f64::from(rng.random_range(1..60)) / 10.0);
    let line = |text: &str| text.to_string();
    match rng.random_range(0..12) {
        0..=3 => vec![format!("flash {node} {back}")],
        4 => vec![line("kill n0"), line("kill n1"), format!("advance {back}"), line("start-all")],
        5 => (0..nodes).map(|at| format!("flash n{at} {back}")).collect(),
        6 => vec![
            line("txns lost"),
            format!("advance {back}"),
            format!("flash {node} {back}"),
            line("txns fine"),
        ],
        7 => {
            let late = if rng.random_bool(0.5) { "deliver" } else { "lose" };
            vec![line("txns late"), soon, format!("flash {node} {back}"), line(late), line("txns fine")]
        }
        8 => {
            vec![line("mesh held"), format!("flash {node} {back}"), soon, line("mesh fine"), line("deliver")]
        }
        9 => vec![
            line("direct lost"),
            soon,
            format!("flash {node} {back}"),
            line("direct fine"),
            line("deliver"),
        ],
        10 => vec![line("outage on"), format!("flash {node} {back}"), soon, line("outage off")],
        _ => {
            let from = ["state", "workers", "mesh", "all"][rng.random_range(0..4)];
            vec![format!("cut {node} {from}"), soon, format!("flash {node} {back}"), line("heal")]
        }
    }
}

/// A plan as the lines of a scenario.
fn plan(seed: u64) -> Vec<String> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let nodes = if seed % 2 == 0 { 3 } else { 5 };
    let zones = ["a", "b", "c", "a", "b"][..nodes].join(" ");
    let mut lines: Vec<String> = [
        "team core max=14",
        "team guest",
        "kind small cpus=4 boot=4 count=4 zones=a,b",
        &format!("nodes {zones}"),
        "until 6 leader = any",
        "submit 1 tasks=30 run=9",
        "submit 2 gang tasks=3 cpus=3 run=12 checkpoint=4 together",
        "submit 3 tasks=12 run=15 team=guest",
        "submit 4 tasks=400 run=50 team=guest",
        "advance 8",
    ]
    .map(String::from)
    .to_vec();
    for at in 0..TROUBLES {
        let mut trouble = trouble(&mut rng, nodes);
        // In the middle of it, so that some acceptances are lost on their way.
        trouble.insert(trouble.len().min(1), format!("submit {} tasks=2 run=2", 10 + at));
        lines.extend(trouble);
        lines.push(format!("advance {}", f64::from(rng.random_range(0..40)) / 10.0));
        match at {
            4 => lines.push("submit 5 tasks=6 run=3 team=guest".into()),
            8 => lines.push("abort 4".into()),
            _ => {}
        }
    }
    let end =
        ["heal", "outage off", "txns fine", "mesh fine", "direct fine", "start-all", "until 30 leader = any"];
    lines.extend(end.map(String::from));
    lines.extend(["until 60 withdrawn 4", "until 90 tasks <= 30"].map(String::from));
    let jobs = [1, 2, 3, 5].into_iter().chain((0..TROUBLES).map(|at| 10 + at));
    lines.extend(jobs.map(|job| format!("until 400 done {job}")));
    lines.extend(["advance 40", "expect leaders = 1", "expect tasks <= 0"].map(String::from));
    lines
}

fn play(lines: &[String]) -> Result<(), String> {
    let mut world = World::new();
    for line in lines {
        let words: Vec<&str> = line.split_whitespace().collect();
        world.command(&words).map_err(|problem| format!("{line}: {problem}"))?;
    }
    Ok(())
}

#[test]
fn the_rules_hold_under_random_plans() {
    let number = |name: &str| std::env::var(name).ok().and_then(|text| text.parse::<u64>().ok());
    let seeds = match number("SEED") {
        Some(seed) => seed..seed + 1,
        None => 0..number("SEEDS").unwrap_or(SEEDS),
    };
    let failed: Vec<String> = seeds
        .filter_map(|seed| {
            let lines = plan(seed);
            let problem = play(&lines).err()?;
            Some(format!("seed {seed}: {problem}\n{}", lines.join("\n")))
        })
        .collect();
    assert!(failed.is_empty(), "{} plans:\n{}", failed.len(), failed.join("\n\n"));
}
