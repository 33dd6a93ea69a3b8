//! Measurements in virtual time for docs/measurements.md. They are not part of CI:
//!     cargo test --release --test scale -- --ignored --nocapture --test-threads 1

mod simulation;

use olivelatch::coordination::{Action, Event, InboundId};
use olivelatch::protocol::HttpOutcome;
use olivelatch::protocol::operators::parse_operator_request;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use serde_json::json;
use simulation::{STEP_MS, SimulatedCluster};

#[test]
#[ignore = "a measurement"]
fn measure_lists_and_explanations() {
    let mut cluster = SimulatedCluster::new();
    let lines = [
        "operators explains_per_s=100000",
        "settings state rps=100000 write_rps=100000",
        "team core max=5200",
        "machine-type small cpus=4 boot=2 count=0",
        "machines small a 1300",
        "controllers a b c",
        "until 5 leader = any",
        "until 30 workers = 1300",
        "submit 900001 tasks=5200 run=1000 estimate=1000",
        "until 60 tasks >= 5000",
        "submit 900002 tasks=100 run=10",
        "advance 5",
    ];
    for number in 0..100_000_u64 {
        let detail = json!({"team": "core", "class": "work", "tasks": 3, "accepted": 5});
        cluster.kv_store.put(
            &format!("olivelatch/end/job-{number:06}"),
            json!({"end": "done", "at": 7, "detail": detail}),
        );
    }
    for line in lines {
        let words: Vec<&str> = line.split_whitespace().collect();
        cluster.run_action(&words).expect(line);
    }
    let leader = cluster.controller_index("leader");
    let follower = (leader + 1) % 3;
    for (label, index, path) in [
        ("explain, a job blocked by its team's limit", leader, "jobs/job-900002/explain"),
        ("explain, a job of 5,200 running tasks", leader, "jobs/job-900001/explain"),
        ("list, 500 of 100,000 finished jobs", leader, "jobs?limit=500"),
        ("list, live jobs after 100,000 finished ones", leader, "jobs?state=live&limit=500"),
        ("list, 500 of 100,000 finished jobs, a follower", follower, "jobs?limit=500"),
        ("inspect, 500 tasks of 5,200", leader, "jobs/job-900001?limit=500"),
        ("explain again, a job blocked by its team's limit", leader, "jobs/job-900002/explain"),
    ] {
        let (path, query) = path.split_once('?').unwrap_or((path, ""));
        let mut durations_us = Vec::new();
        let mut bytes = 0;
        for _ in 0..50 {
            let request = parse_operator_request(path, query).expect("a path").expect("a query");
            cluster.request_count += 1;
            let inbound = InboundId(cluster.request_count);
            let clock = cluster.controller_clock(0);
            let controller = cluster.controllers[index].controller.as_mut().expect("a running controller");
            controller.receive_event(clock, Event::Operator { inbound, request });
            // The controller polls the store and passes its read barrier before it responds.
            for _ in 0..20 {
                cluster.now += STEP_MS;
                let clock = cluster.controller_clock(0);
                let Some(controller) = cluster.controllers[index].controller.as_mut() else { continue };
                let actions = controller.step(clock);
                let mut answered = false;
                for action in actions {
                    if let Action::CallKv { outbound, request, .. } = action {
                        let http_request = request.to_http_request();
                        let (status, body) = cluster.kv_store.handle_request(
                            http_request.method,
                            &http_request.path,
                            &http_request.body,
                            cluster.now,
                        );
                        let outcome = HttpOutcome::Response { status, body: body.to_string().into_bytes() };
                        let controller =
                            cluster.controllers[index].controller.as_mut().expect("a running controller");
                        let started = std::time::Instant::now();
                        let follow_ups = controller.receive_event(clock, Event::Kv { outbound, outcome });
                        for action in follow_ups {
                            if let Action::Respond { inbound: answered_inbound, response } = action
                                && answered_inbound == inbound
                            {
                                durations_us.push(started.elapsed().as_micros() as u64);
                                bytes = response.body.len();
                                answered = true;
                            }
                        }
                    }
                }
                if answered {
                    break;
                }
            }
            // Lets workers and the other controllers proceed between requests.
            (0..25).for_each(|_| cluster.step());
        }
        durations_us.sort_unstable();
        println!(
            "{label}: median {} us, maximum {} us, {bytes} bytes",
            durations_us[durations_us.len() / 2],
            durations_us[durations_us.len() - 1]
        );
    }
}

fn start_cluster(lines: &[&str]) -> SimulatedCluster {
    let mut cluster = SimulatedCluster::new();
    run_lines(&mut cluster, lines);
    cluster
}

/// Returns the number of jobs with a terminal record.
fn finished_jobs(cluster: &SimulatedCluster) -> usize {
    cluster.kv_store.keys().filter(|key| key.starts_with("olivelatch/end/")).count()
}

fn run_lines(cluster: &mut SimulatedCluster, lines: &[&str]) {
    for line in lines {
        let words: Vec<&str> = line.split_whitespace().collect();
        cluster.run_action(&words).unwrap_or_else(|problem| panic!("{line}: {problem}"));
    }
}

const CLUSTER_SETUP: [&str; 9] = [
    "graphs most_nodes=100000",
    "settings state rps=500 write_rps=250 txn_ops=64",
    "team core",
    "machine-type big cpus=64 boot=1 count=0",
    "machines big a 40",
    "controllers a b c",
    "until 10 leader = any",
    "until 20 workers = 40",
    "advance 2",
];

/// Arguments of every job and graph node that is measured.
const NODE_ARGUMENTS: &str = "run=1 estimate=1 cpus=1 memory=0.1 size=0";

/// Returns the upstream nodes of each node, for a graph of the given kind.
fn shape(kind: &str, nodes: u64) -> Vec<Vec<u64>> {
    let mut rng = SmallRng::seed_from_u64(16);
    (0..nodes)
        .map(|node| match kind {
            "fan-out" if node > 0 => vec![0],
            "fan-in" if node + 1 == nodes => (0..node).collect(),
            "pipeline" if node > 0 => vec![node - 1],
            // Up to three of the hundred nodes before it.
            "random" if node > 0 => {
                let mut upstream: Vec<u64> = (0..rng.random_range(0..4u64))
                    .map(|_| rng.random_range(node.saturating_sub(100)..node))
                    .collect();
                upstream.sort_unstable();
                upstream.dedup();
                upstream
            }
            _ => Vec::new(),
        })
        .collect()
}

/// Adds the nodes of a graph to the draft of a run. Their jobs are numbered from `first_job`.
fn draft_graph(cluster: &mut SimulatedCluster, run: &str, first_job: u64, shape: &[Vec<u64>]) {
    for (index, upstream) in shape.iter().enumerate() {
        let is_fan_in = upstream.len() + 1 == shape.len() && upstream.len() > 100;
        let names: Vec<String> = upstream.iter().map(|node| format!("n{node}")).collect();
        let after = match (is_fan_in, names.is_empty()) {
            (true, _) => " after=n*".to_string(),
            (_, true) => String::new(),
            _ => format!(" after={}", names.join(",")),
        };
        // The last node of a fan-in has a name that `n*` does not match.
        let name = if is_fan_in { "last".to_string() } else { format!("n{index}") };
        run_lines(
            cluster,
            &[&format!("node {run} {name} {}{after} {NODE_ARGUMENTS}", first_job + index as u64)],
        );
    }
}

/// Returns the number of nodes on the longest path through a graph.
fn critical_path_length(shape: &[Vec<u64>]) -> u64 {
    let mut lengths = vec![1; shape.len()];
    for (index, upstream) in shape.iter().enumerate() {
        lengths[index] = upstream.iter().map(|node| lengths[*node as usize] + 1).max().unwrap_or(1);
    }
    lengths.into_iter().max().unwrap_or(0)
}

/// Returns for each node the time, in ms, from the terminal record of its last upstream node to the moment when its
/// first task has its image. The result is sorted.
fn start_delays(cluster: &SimulatedCluster, first_job: u64, shape: &[Vec<u64>]) -> Vec<u64> {
    let job_name = |node: u64| format!("job-{:06}", first_job + node);
    let ended_at = |node: u64| {
        let record = cluster.kv_store.get(&format!("olivelatch/end/{}", job_name(node)))?;
        // Converts the wall-clock time of the record to virtual time.
        Some(record["at"].as_u64()? - 1_700_000_000_000)
    };
    let delay = |(node, upstream): (usize, &Vec<u64>)| {
        let last_end = upstream.iter().filter_map(|node| ended_at(*node)).max()?;
        Some(cluster.first_start.get(&job_name(node as u64))?.saturating_sub(last_end))
    };
    let mut delays: Vec<u64> = shape.iter().enumerate().filter_map(delay).collect();
    delays.sort_unstable();
    delays
}

/// Prints what the cluster has done since `start_ms`. `before` has the number of store changes and the time that
/// controllers had taken to handle events, both at `start_ms`.
fn print_result(
    cluster: &SimulatedCluster,
    label: &str,
    nodes: u64,
    start_ms: u64,
    before: (u64, std::time::Duration),
) {
    let seconds = (cluster.now - start_ms) as f64 / 1000.0;
    println!(
        "{label}: {nodes} nodes in {seconds:.1} s, {:.1} per second; {:.2} store changes per node; {:.0} us of CPU time per node, at most {:.1} ms for one event ({})",
        nodes as f64 / seconds,
        (cluster.kv_mutations - before.0) as f64 / nodes as f64,
        (cluster.event_handling_time.total - before.1).as_micros() as f64 / nodes as f64,
        cluster.event_handling_time.longest.as_micros() as f64 / 1000.0,
        cluster.event_handling_time.longest_event,
    );
}

/// Measures 10,000 plain jobs, then up to 10,000 nodes of graphs of four kinds, each on the same 40 machines.
#[test]
#[ignore = "a measurement"]
fn measure_dag_nodes_and_plain_jobs() {
    const NODES: u64 = 10_000;
    let mut plain = start_cluster(&CLUSTER_SETUP);
    let (start_ms, before) = (plain.now, (plain.kv_mutations, plain.event_handling_time.total));
    for at in 0..NODES {
        run_lines(&mut plain, &[&format!("submit {} {NODE_ARGUMENTS}", 1 + at)]);
        // The highest rate that is accepted: faster submissions are delayed and then rejected.
        if at % 50 == 49 {
            run_lines(&mut plain, &["advance 0.2"]);
        }
    }
    while finished_jobs(&plain) < NODES as usize {
        plain.step();
    }
    print_result(&plain, "plain jobs", NODES, start_ms, before);
    // A pipeline is limited by its only path. With 2,000 nodes the machines have room for all nodes that are ready at
    // once.
    for (kind, nodes) in
        [("fan-out", NODES), ("fan-in", NODES), ("random", NODES), ("random", 2_000), ("pipeline", 1_000)]
    {
        let shape = shape(kind, nodes);
        let mut cluster = start_cluster(&CLUSTER_SETUP);
        draft_graph(&mut cluster, "r", 1, &shape);
        let (start_ms, before) = (cluster.now, (cluster.kv_mutations, cluster.event_handling_time.total));
        run_lines(&mut cluster, &["commit r g"]);
        while finished_jobs(&cluster) < nodes as usize {
            cluster.step();
        }
        print_result(&cluster, kind, nodes, start_ms, before);
        println!("  {} layers", critical_path_length(&shape));
        let delays = start_delays(&cluster, 1, &shape);
        if let (Some(middle), Some(late)) =
            (delays.get(delays.len() / 2), delays.get(delays.len() * 99 / 100))
        {
            println!("  delay from the last upstream end to the start: median {middle} ms, p99 {late} ms");
        }
    }
}

/// Measures a failover with 50 runs of 1,000 nodes in progress: all controllers are killed, and the next leader reads
/// all records again.
#[test]
#[ignore = "a measurement"]
fn measure_failover_with_fifty_dag_runs() {
    let mut cluster = start_cluster(&CLUSTER_SETUP);
    let shape = shape("random", 1_000);
    for run in 0..50u64 {
        draft_graph(&mut cluster, &format!("r{run}"), 1 + run * 1_000, &shape);
        run_lines(&mut cluster, &[&format!("commit r{run} g{run}"), "advance 1"]);
    }
    run_lines(&mut cluster, &["until 60 graph-requests-answered", "advance 5"]);
    let ends = finished_jobs(&cluster);
    println!(
        "before: {ends} of 50,000 nodes finished, at most {:.1} ms for one event",
        cluster.event_handling_time.longest.as_micros() as f64 / 1000.0
    );
    cluster.event_handling_time = Default::default();
    let start_ms = cluster.now;
    run_lines(&mut cluster, &["kill n0", "kill n1", "kill n2", "start-all", "until 60 leader = any"]);
    println!(
        "failover: a leader after {:.1} s; {:.0} ms of CPU time of three controllers, at most {:.1} ms for one event ({})",
        (cluster.now - start_ms) as f64 / 1000.0,
        cluster.event_handling_time.total.as_micros() as f64 / 1000.0,
        cluster.event_handling_time.longest.as_micros() as f64 / 1000.0,
        cluster.event_handling_time.longest_event,
    );
    let before = finished_jobs(&cluster);
    let start_ms = cluster.now;
    while finished_jobs(&cluster) < before + 500 {
        cluster.step();
    }
    println!("500 more nodes finished after {:.1} s", (cluster.now - start_ms) as f64 / 1000.0);
}
