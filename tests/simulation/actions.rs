//! What a line of a scenario may begin with.

use std::collections::HashSet;

use olivelatch::coordination::Event;
use olivelatch::ids::JobId;
use olivelatch::protocol::users::{UserRequest, parse_submission};
use olivelatch_local_cluster::MachineTypeSpec;
use olivelatch_worker::{TaskWork, Worker};
use serde_json::{Value, json};

use super::{
    ControllerSlot, MeshMode, PendingRequest, SimulatedCluster, TxnMode, named_argument, numeric_argument,
};

impl SimulatedCluster {
    pub fn controller_index(&self, name: &str) -> usize {
        if name == "leader" {
            return self.controllers.iter().position(ControllerSlot::is_leader).expect("a leader");
        }
        self.controllers.iter().position(|slot| slot.name == name).expect("a node")
    }

    /// `leader?`: whoever leads, if anybody does. Every other name must be that of a node that is there.
    pub fn find_controller(&self, name: &str) -> Option<usize> {
        match name {
            "leader?" => self.controllers.iter().position(ControllerSlot::is_leader),
            _ => Some(self.controller_index(name)),
        }
    }

    pub fn run_action(&mut self, words: &[&str]) -> Result<(), String> {
        let (verb, rest) = words.split_first().ok_or("an empty line")?;
        let (_, act) = ACTIONS.iter().find(|(name, _)| name == verb).ok_or("unknown command")?;
        act(self, rest)?;
        match self.violations.first() {
            Some(broken) => Err(format!("rule broken: {broken}")),
            None => Ok(()),
        }
    }

    fn set_settings(&mut self, words: &[&str]) -> ActionResult {
        let (section, pairs) = words.split_first().ok_or("a section")?;
        for pair in pairs {
            let (name, value) = pair.split_once('=').ok_or("name=value")?;
            let value: f64 = value.parse().map_err(|_| "a number")?;
            let exact = if value.fract() == 0.0 { json!(value as u64) } else { json!(value) };
            self.config["cluster"][*section][name] = exact;
        }
        Ok(())
    }

    fn set_tunable(&mut self, words: &[&str]) -> ActionResult {
        let [name, value] = words else { return usage_error("NAME VALUE") };
        self.tunables.push_str(&format!("{name} = {value}\n"));
        Ok(())
    }

    /// Turns the operators' interface on.
    fn set_operators(&mut self, words: &[&str]) -> ActionResult {
        let settings = words.iter().map(|pair| format!("  {}\n", pair.replace('=', " = ")));
        let block: String = settings.collect();
        self.tunables.push_str(&format!("operators {{\n  enabled = true\n{block}}}\n"));
        Ok(())
    }

    /// Walks the list of jobs page by page, with a pause after each.
    fn start_list(&mut self, words: &[&str]) -> ActionResult {
        let filters: String = ["team", "class", "state"]
            .iter()
            .filter_map(|name| Some(format!("&{name}={}", named_argument(words, name)?)))
            .collect();
        let (limit, pause) = (numeric_argument(words, "limit", 100.0), numeric_argument(words, "pause", 0.0));
        self.operator_queries.start_pagination(self.now, limit as u64, (pause * 1000.0) as u64, &filters);
        Ok(())
    }

    fn add_team(&mut self, words: &[&str]) -> ActionResult {
        let (name, rest) = words.split_first().ok_or("a name")?;
        let team = json!({"name": name, "cpus": numeric_argument(rest, "guaranteed", 0.0),
            "cpus_max": numeric_argument(rest, "max", 0.0), "gpus": 0.0, "gpus_max": 0.0});
        self.config["cluster"]["teams"].as_array_mut().expect("teams").push(team);
        Ok(())
    }

    fn add_objective(&mut self, words: &[&str]) -> ActionResult {
        let [class, within] = words else { return usage_error("CLASS SECONDS") };
        let aim = json!({"kind": "finished", "class": class, "within_s": parse_seconds(within)?});
        self.config["cluster"]["objectives"].as_array_mut().expect("objectives").push(aim);
        Ok(())
    }

    fn add_machine_type(&mut self, words: &[&str]) -> ActionResult {
        let (name, rest) = words.split_first().ok_or("a name")?;
        self.cloud.machine_types.push(MachineTypeSpec {
            name: (*name).into(),
            cpus: numeric_argument(rest, "cpus", 4.0),
            memory_gb: numeric_argument(rest, "memory", 64.0),
            gpus: numeric_argument(rest, "gpus", 0.0),
            fetch_gb_per_s: numeric_argument(rest, "fetch", 1.0),
            boot_s: numeric_argument(rest, "boot", 5.0),
            zones: named_argument(rest, "zones").unwrap_or("a").split(',').map(String::from).collect(),
            on_demand_per_zone: numeric_argument(rest, "count", 10.0) as usize,
            spot_per_zone: numeric_argument(rest, "spot", 0.0) as usize,
        });
        Ok(())
    }

    fn start_controllers(&mut self, zones: &[&str]) -> ActionResult {
        for (at, zone) in zones.iter().enumerate() {
            let name = format!("n{at}");
            let cuts = HashSet::new();
            let (load, pace) = Default::default();
            self.controllers.push(ControllerSlot {
                controller: None,
                name,
                zone: (*zone).into(),
                cut_links: cuts,
                incarnation: 0,
                event_queue: load,
                clock_fault: pace,
            });
        }
        (0..self.controllers.len()).for_each(|at| self.boot_controller(at));
        Ok(())
    }

    fn add_machine_of(&mut self, words: &[&str]) -> ActionResult {
        let [kind, zone, rest @ ..] = words else { return usage_error("KIND ZONE [spot]") };
        self.cloud.add_machine(kind, zone, rest.contains(&"spot"), self.now, 0);
        Ok(())
    }

    fn add_machines(&mut self, words: &[&str]) -> ActionResult {
        let [kind, zone, count] = words else { return usage_error("KIND ZONE COUNT") };
        for _ in 0..count.parse::<usize>().map_err(|_| "a count")? {
            self.cloud.add_machine(kind, zone, false, self.now, 0);
        }
        Ok(())
    }

    /// As an earlier version would have left it.
    fn put_record(&mut self, words: &[&str]) -> ActionResult {
        let (key, text) = words.split_first().ok_or("a key")?;
        let value: Value = serde_json::from_str(&text.join(" ")).map_err(|error| error.to_string())?;
        self.kv_store.put(key, value);
        Ok(())
    }

    /// Accepted by an earlier version.
    fn mark_accepted(&mut self, words: &[&str]) -> ActionResult {
        let (id, ..) = self.describe_job(words);
        self.accepted_jobs.insert(id);
        Ok(())
    }

    fn submit_raw(&mut self, words: &[&str]) -> ActionResult {
        let (code, text) = words.split_first().ok_or("a status")?;
        match parse_submission(text.join(" ").as_bytes()) {
            Err(answer) if answer.status.to_string() == *code => {}
            Err(answer) => return Err(format!("answered {}", answer.status)),
            Ok(request) => self.send_user_request(request, "raw", Some(parse_status(code)?), true),
        }
        Ok(())
    }

    fn poll_expecting(&mut self, words: &[&str]) -> ActionResult {
        let [id, code] = words else { return usage_error("JOB STATUS") };
        let (id, job) = parse_job(id)?;
        self.send_user_request(UserRequest::Poll { id: job }, &id, Some(parse_status(code)?), true);
        Ok(())
    }

    fn cancel(&mut self, words: &[&str]) -> ActionResult {
        let (id, by) = match words {
            [id] => (id, None),
            [id, by] => (id, Some(*by)),
            _ => return usage_error("JOB [first|second: of those that the state service serves]"),
        };
        let (id, job) = parse_job(id)?;
        self.pending_cancels.insert(id.clone(), self.now);
        let served = |at: &usize| !self.is_cut(*at, "state") && self.controllers[*at].controller.is_some();
        let mut served = (0..self.controllers.len()).filter(served);
        let by = match by {
            Some("first") => served.next(),
            Some(_) => served.nth(1),
            None => None,
        };
        let Some(at) = by else {
            self.repeat_cancels();
            return Ok(());
        };
        self.pending_cancels.insert(id.clone(), self.now + 1000);
        let call = self.track_request(at, PendingRequest::User { id, expect: None, raw: false });
        self.send_event(at, Event::User { inbound: call, request: UserRequest::Cancel { id: job } });
        Ok(())
    }

    fn advance(&mut self, words: &[&str]) -> ActionResult {
        let [seconds] = words else { return usage_error("SECONDS") };
        let until = self.deadline_in(seconds)?;
        while self.now < until {
            self.step();
        }
        Ok(())
    }

    fn until(&mut self, words: &[&str]) -> ActionResult {
        let (seconds, condition) = words.split_first().ok_or("SECONDS CONDITION")?;
        let until = self.deadline_in(seconds)?;
        while !self.condition_holds(condition) {
            if self.now >= until {
                return Err(format!("not within {seconds} s{}", self.dag_runs.responses_text()));
            }
            self.step();
        }
        Ok(())
    }

    fn expect(&mut self, condition: &[&str]) -> ActionResult {
        if self.condition_holds(condition) {
            Ok(())
        } else {
            Err(format!("does not hold {:?}", self.counters))
        }
    }

    fn never(&mut self, words: &[&str]) -> ActionResult {
        let (seconds, condition) = words.split_first().ok_or("SECONDS CONDITION")?;
        let until = self.deadline_in(seconds)?;
        while self.now < until {
            self.step();
            if self.condition_holds(condition) {
                return Err("it did".into());
            }
        }
        Ok(())
    }

    fn kill_controller(&mut self, words: &[&str]) -> ActionResult {
        let [node] = words else { return usage_error("NODE") };
        let Some(at) = self.find_controller(node) else { return Ok(()) };
        self.controllers[at].controller = None;
        self.controllers[at].clock_fault.frozen = false;
        self.controllers[at].clock_fault.missed_events.clear();
        let open: Vec<(usize, u64)> =
            self.requests_in_flight.keys().filter(|(node, _)| *node == at).copied().collect();
        for call in open {
            match self.requests_in_flight.remove(&call) {
                Some(PendingRequest::Heartbeat { worker, .. }) => {
                    self.worker_targets[worker] = ((at + 1) % self.controllers.len(), self.now + 1000, None);
                }
                // The client asks another one.
                Some(PendingRequest::Graph(send)) => {
                    drop(self.dag_runs.handle_response(send, None, self.now))
                }
                Some(PendingRequest::Config(name)) => self.handle_config_response(&name, None),
                // The user gets no answer and tries again.
                Some(PendingRequest::User { id, raw: false, .. }) if self.is_unacknowledged(&id) => {
                    self.retries.push((self.now + 1000, id));
                }
                _ => {}
            }
        }
        Ok(())
    }

    fn start_controller(&mut self, words: &[&str]) -> ActionResult {
        let [node] = words else { return usage_error("NODE") };
        self.boot_controller(self.controller_index(node));
        Ok(())
    }

    fn start_all_controllers(&mut self, _: &[&str]) -> ActionResult {
        for at in 0..self.controllers.len() {
            if self.controllers[at].controller.is_none() {
                self.boot_controller(at);
            }
        }
        Ok(())
    }

    fn set_controller_capacity(&mut self, words: &[&str]) -> ActionResult {
        let [units] = words else { return usage_error("UNITS A SECOND") };
        self.controller_capacity = Some(units.parse().map_err(|_| "a number")?);
        Ok(())
    }

    fn cut_link(&mut self, words: &[&str]) -> ActionResult {
        let [node, what] = words else { return usage_error("NODE WHAT") };
        if *node == "all" {
            self.controllers.iter_mut().for_each(|slot| {
                slot.cut_links.insert((*what).into());
            });
            return Ok(());
        }
        // Of a leader that is not there nothing can be cut off.
        let Some(at) = self.find_controller(node) else { return Ok(()) };
        self.controllers[at].cut_links.insert((*what).into());
        Ok(())
    }

    /// Whoever was cut off from it is so no more.
    fn restore_links(&mut self, words: &[&str]) -> ActionResult {
        let [what] = words else { return usage_error("WHAT") };
        self.controllers.iter_mut().for_each(|slot| {
            slot.cut_links.remove(*what);
        });
        Ok(())
    }

    fn restore_all_links(&mut self, _: &[&str]) -> ActionResult {
        self.controllers.iter_mut().for_each(|slot| slot.cut_links.clear());
        self.zone_cuts.clear();
        Ok(())
    }

    fn partition_zones(&mut self, words: &[&str]) -> ActionResult {
        let [a, b] = words else { return usage_error("ZONE ZONE") };
        self.zone_cuts.insert(((*a).into(), (*b).into()));
        Ok(())
    }

    fn set_kv_outage(&mut self, words: &[&str]) -> ActionResult {
        self.kv_outage = words == ["on"];
        if !self.kv_outage {
            self.kv_store.renew_all_leases(self.now);
        }
        Ok(())
    }

    fn set_cloud_outage(&mut self, words: &[&str]) -> ActionResult {
        self.cloud_down = words == ["down"];
        Ok(())
    }

    fn hang_machines(&mut self, words: &[&str]) -> ActionResult {
        let [host] = words else { return usage_error("HOST") };
        self.hung_machines.insert((*host).into());
        Ok(())
    }

    fn resume_machines(&mut self, words: &[&str]) -> ActionResult {
        let [host] = words else { return usage_error("HOST") };
        self.hung_machines.remove(*host);
        Ok(())
    }

    fn worker(&mut self, host: &str) -> Result<&mut Worker, String> {
        self.workers.iter_mut().find(|worker| worker.machine.name == host).ok_or(format!("no worker {host}"))
    }

    fn make_sick(&mut self, words: &[&str]) -> ActionResult {
        let [host] = words else { return usage_error("HOST") };
        self.worker(host)?.fails_tasks = true;
        Ok(())
    }

    /// The job's tasks fail no more.
    fn stop_task_failures(&mut self, words: &[&str]) -> ActionResult {
        let [id] = words else { return usage_error("JOB") };
        let (id, _) = parse_job(id)?;
        match self.jobs.get_mut(&id).map(|job| &mut job.work) {
            Some(TaskWork::Simulated { fails, .. }) => *fails = false,
            _ => return Err("an unknown job".into()),
        }
        Ok(())
    }

    fn slow_machine(&mut self, words: &[&str]) -> ActionResult {
        let [host, times] = words else { return usage_error("HOST TIMES") };
        self.worker(host)?.slowdown_factor = times.parse().map_err(|_| "a number")?;
        Ok(())
    }

    fn announce_spot_reclaim(&mut self, words: &[&str]) -> ActionResult {
        let [host, seconds] = words else { return usage_error("HOST SECONDS") };
        let until = self.deadline_in(seconds)?;
        let worker = self.worker(host)?;
        worker.termination_at = Some(until);
        worker.has_unreported_change = true;
        Ok(())
    }

    fn remove_machine(&mut self, words: &[&str]) -> ActionResult {
        let [host] = words else { return usage_error("HOST") };
        self.cloud.machines.retain(|machine| machine.name != *host);
        Ok(())
    }

    fn set_long_changes(&mut self, words: &[&str]) -> ActionResult {
        self.changes_too_long = words == ["long"];
        Ok(())
    }

    fn set_direct_commands(&mut self, words: &[&str]) -> ActionResult {
        self.direct_commands_lost = words == ["lost"];
        Ok(())
    }

    fn set_txn_mode(&mut self, words: &[&str]) -> ActionResult {
        self.faults.txn_delay_ms = match words {
            ["late", seconds] => Some((parse_seconds(seconds)? * 1000.0) as u64),
            _ => None,
        };
        self.txn_mode = match words {
            ["lost"] => TxnMode::ResponseLost,
            ["late", ..] => TxnMode::Delayed,
            _ => TxnMode::Normal,
        };
        Ok(())
    }

    fn deliver_held(&mut self, _: &[&str]) -> ActionResult {
        for body in std::mem::take(&mut self.held_txns) {
            self.kv_store.handle_request("POST", "/txn", &body, self.now);
        }
        for (worker, body) in std::mem::take(&mut self.held_commands) {
            self.workers[worker].handle_direct_command(&body, self.now, &self.jobs);
        }
        for (to, node, message) in std::mem::take(&mut self.held_mesh) {
            self.send_event(to, Event::Peer { controller: node, message });
        }
        Ok(())
    }

    /// What is held back never arrives.
    fn drop_held(&mut self, _: &[&str]) -> ActionResult {
        self.held_txns.clear();
        self.held_commands.clear();
        self.held_mesh.clear();
        Ok(())
    }

    fn set_mesh_mode(&mut self, words: &[&str]) -> ActionResult {
        self.mesh_mode = match words {
            ["held"] => MeshMode::Delayed,
            ["twice"] => MeshMode::Duplicated,
            ["fine"] => MeshMode::Normal,
            _ => return usage_error("held, twice or fine"),
        };
        Ok(())
    }

    /// Ends a controller that is back after so many seconds, knowing nothing.
    fn restart_at_once(&mut self, words: &[&str]) -> ActionResult {
        let [node, seconds] = words else { return usage_error("NODE SECONDS") };
        let name = self.controllers[self.controller_index(node)].name.clone();
        self.kill_controller(&[&name])?;
        self.advance(&[*seconds])?;
        self.start_controller(&[&name])
    }

    fn poll_repeatedly(&mut self, words: &[&str]) -> ActionResult {
        let [id, times] = words else { return usage_error("JOB TIMES A SECOND") };
        let times: u64 = times.parse().map_err(|_| "a count")?;
        self.repeating_pollers.push((parse_job(id)?.0, (1000 / times.max(1)).max(1), self.now));
        Ok(())
    }

    fn deadline_in(&self, seconds: &str) -> Result<u64, String> {
        Ok(self.now + (parse_seconds(seconds)? * 1000.0) as u64)
    }
}

pub type ActionResult = Result<(), String>;
type Action = fn(&mut SimulatedCluster, &[&str]) -> ActionResult;

/// What a line of a scenario may begin with.
const ACTIONS: &[(&str, Action)] = &[
    ("settings", SimulatedCluster::set_settings),
    ("tunable", SimulatedCluster::set_tunable),
    ("operators", SimulatedCluster::set_operators),
    ("list", SimulatedCluster::start_list),
    ("config", SimulatedCluster::enable_config),
    ("set", SimulatedCluster::set_config),
    ("graphs", SimulatedCluster::set_graphs),
    ("node", SimulatedCluster::add_node),
    ("fan", SimulatedCluster::add_fan_out),
    ("upload", SimulatedCluster::upload_graph),
    ("commit", SimulatedCluster::commit_graph),
    ("cancel-run", SimulatedCluster::cancel_run),
    ("redo", SimulatedCluster::rerun),
    ("team", SimulatedCluster::add_team),
    ("objective", SimulatedCluster::add_objective),
    ("kind", SimulatedCluster::add_machine_type),
    ("nodes", SimulatedCluster::start_controllers),
    ("machine", SimulatedCluster::add_machine_of),
    ("machines", SimulatedCluster::add_machines),
    ("record", SimulatedCluster::put_record),
    ("known", SimulatedCluster::mark_accepted),
    ("submit", |world, rest| {
        world.submit_job(rest);
        Ok(())
    }),
    ("raw", SimulatedCluster::submit_raw),
    ("poll", SimulatedCluster::poll_expecting),
    ("abort", SimulatedCluster::cancel),
    ("advance", SimulatedCluster::advance),
    ("until", SimulatedCluster::until),
    ("expect", SimulatedCluster::expect),
    ("never", SimulatedCluster::never),
    ("kill", SimulatedCluster::kill_controller),
    ("start", SimulatedCluster::start_controller),
    ("start-all", SimulatedCluster::start_all_controllers),
    ("processor", SimulatedCluster::set_controller_capacity),
    ("cut", SimulatedCluster::cut_link),
    ("uncut", SimulatedCluster::restore_links),
    ("heal", SimulatedCluster::restore_all_links),
    ("part", SimulatedCluster::partition_zones),
    ("outage", SimulatedCluster::set_kv_outage),
    ("cloud", SimulatedCluster::set_cloud_outage),
    ("hang", SimulatedCluster::hang_machines),
    ("unhang", SimulatedCluster::resume_machines),
    ("sick", SimulatedCluster::make_sick),
    ("slow", SimulatedCluster::slow_machine),
    ("mend", SimulatedCluster::stop_task_failures),
    ("notice", SimulatedCluster::announce_spot_reclaim),
    ("take", SimulatedCluster::remove_machine),
    ("changes", SimulatedCluster::set_long_changes),
    ("direct", SimulatedCluster::set_direct_commands),
    ("txns", SimulatedCluster::set_txn_mode),
    ("deliver", SimulatedCluster::deliver_held),
    ("lose", SimulatedCluster::drop_held),
    ("mesh", SimulatedCluster::set_mesh_mode),
    ("flash", SimulatedCluster::restart_at_once),
    ("asks", SimulatedCluster::poll_repeatedly),
    ("deaf", SimulatedCluster::set_receive_path_down),
    ("mute", SimulatedCluster::set_send_path_down),
    ("calm", SimulatedCluster::expect_prompt_starts),
    ("cloud-answers", SimulatedCluster::set_cloud_delay),
    ("close-looks", SimulatedCluster::set_close_polling),
    ("stream", SimulatedCluster::set_stream),
    ("cancels-at-end", SimulatedCluster::set_cancels_at_end),
    ("copies", SimulatedCluster::set_heartbeat_copies),
    ("state", SimulatedCluster::set_kv_delay),
    ("freeze", SimulatedCluster::freeze_controller),
    ("thaw", SimulatedCluster::thaw_controllers),
    ("clock", SimulatedCluster::set_clock),
];

pub fn usage_error(expected: &str) -> ActionResult {
    Err(format!("expected {expected}"))
}

pub fn parse_seconds(text: &str) -> Result<f64, String> {
    text.parse().map_err(|_| format!("expected seconds, not {text}"))
}

pub fn parse_status(text: &str) -> Result<u16, String> {
    text.parse().map_err(|_| format!("expected a status, not {text}"))
}

/// A job by its number, as the wire and as the controllers name it.
fn parse_job(number: &str) -> Result<(String, JobId), String> {
    let number: u64 = number.parse().map_err(|_| format!("expected a job's number, not {number}"))?;
    let job = JobId(number);
    Ok((job.to_string(), job))
}
