//! A stand-in of the cloud: rents machines, whose workers it starts, and takes them back.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::http::{self, Answer, Request};
use crate::json::{Json, num, obj, string};
use crate::link::{Link, Mode};
use crate::rec;
use crate::worker::{Gangs, Node, Room, Timings, Worker};
use crate::world::{Place, World};

#[derive(Debug, Clone)]
pub struct Kind {
    pub name: &'static str,
    pub vcpus: f64,
    pub memory_gb: f64,
    pub price: f64,
    pub low_price: f64,
    pub boot_s: f64,
}

/// How many machines of a kind there are in a zone.
#[derive(Debug, Clone)]
pub struct Stock {
    pub kind: &'static str,
    pub hall: &'static str,
    pub loaners: bool,
    pub count: usize,
}

pub struct Plan {
    pub kinds: Vec<Kind>,
    pub halls: Vec<&'static str>,
    pub stock: Vec<Stock>,
    pub list_lag_s: f64,
    pub latency: Duration,
}

struct Rented {
    place: Place,
    held_since: Instant,
    worker: Option<Worker>,
    released: Option<Instant>,
}

#[derive(Default)]
struct State {
    machines: BTreeMap<String, Rented>,
    bookings: BTreeMap<String, Vec<String>>,
    created: u32,
}

#[derive(Clone)]
pub struct Cloud {
    plan: Arc<Plan>,
    state: Arc<Mutex<State>>,
    timings: Timings,
    nodes: Vec<Node>,
    world: World,
    gangs: Gangs,
}

pub const PULL_GB_PER_S: f64 = 0.5;

impl Cloud {
    pub fn start(plan: Plan, timings: Timings, nodes: Vec<Node>, world: World) -> Cloud {
        Cloud { plan: Arc::new(plan), state: Arc::default(), timings, nodes, world, gangs: Gangs::default() }
    }

    pub fn endpoint(&self, node: &str, link: Link) -> SocketAddr {
        let (cloud, node) = (self.clone(), node.to_string());
        http::serve(link.clone(), move |request| {
            let arrived = crate::record::now();
            if link.pass() == Mode::Refuse {
                return Some((503, "{\"error\":\"trouble\"}".into()));
            }
            let answer = cloud.handle(&request);
            rec!(
                "cloud {node} {} {} {} -> {} {} (arrived {arrived:.3})",
                request.method,
                request.path,
                request.body,
                answer.as_ref().map_or(0, |answer| answer.0),
                answer.as_ref().map_or("", |answer| if request.path.starts_with("/hosts") {
                    &answer.1
                } else {
                    ""
                })
            );
            std::thread::sleep(cloud.plan.latency);
            link.pass();
            answer
        })
    }

    pub fn workers(&self) -> Vec<Worker> {
        let state = self.state.lock().expect("cloud");
        state
            .machines
            .values()
            .filter_map(|rented| rented.worker.clone())
            .filter(|worker| !worker.is_gone())
            .collect()
    }

    /// The number of bookings that were granted.
    pub fn bookings(&self) -> usize {
        self.state.lock().expect("cloud").bookings.len()
    }

    fn handle(&self, request: &Request) -> Answer {
        let (path, query) = request.path.split_once('?').unwrap_or((&request.path, ""));
        let body = Json::parse(&request.body).unwrap_or(Json::Null);
        Some(match (request.method.as_str(), path) {
            ("GET", "/catalog") => {
                let halls = Json::Arr(self.plan.halls.iter().map(|hall| string(*hall)).collect());
                let kinds = self.plan.kinds.iter().map(|kind| {
                    obj(vec![
                        ("name", string(kind.name)),
                        ("vcpus", num(kind.vcpus)),
                        ("accelerators", num(0)),
                        ("memory_gb", num(kind.memory_gb)),
                        ("local_gb", num(40)),
                        ("pull_gb_per_s", num(PULL_GB_PER_S)),
                        ("price", num(kind.price)),
                        ("low_price", num(kind.low_price)),
                        ("ready_s", num(kind.boot_s)),
                        ("halls", halls.clone()),
                    ])
                });
                (200, obj(vec![("boxkinds", Json::Arr(kinds.collect()))]).text())
            }
            ("POST", "/hosts") => self.rent(&body),
            ("POST", "/hosts/release") => {
                let mut state = self.state.lock().expect("cloud");
                for name in body.get("boxes").arr() {
                    if let Some(rented) = state.machines.get_mut(name.str()) {
                        rented.released.get_or_insert_with(Instant::now);
                        if let Some(worker) = &rented.worker {
                            worker.end("released");
                        }
                    }
                }
                (200, "{}".into())
            }
            ("GET", "/hosts") => {
                let after = query.split('&').find_map(|pair| pair.strip_prefix("after=")).unwrap_or("");
                let state = self.state.lock().expect("cloud");
                let lag = Duration::from_secs_f64(self.plan.list_lag_s);
                let boxes = state
                    .machines
                    .iter()
                    .filter(|(name, rented)| {
                        let taken = rented.worker.as_ref().and_then(Worker::gone_for);
                        let gone = rented.released.is_some_and(|at| at.elapsed() > lag)
                            || taken.is_some_and(|since| since > lag);
                        name.as_str() > after && rented.held_since.elapsed() > lag && !gone
                    })
                    .map(|(name, rented)| {
                        let endpoint =
                            rented.worker.as_ref().map(|worker| worker.addr.to_string()).unwrap_or_default();
                        obj(vec![
                            ("uid", string(name.clone())),
                            ("endpoint", string(endpoint)),
                            ("boxkind", string(rented.place.boxkind.clone())),
                            ("hall", string(rented.place.hall.clone())),
                            ("loaners", Json::Bool(rented.place.loaners)),
                            ("status", string(if rented.worker.is_some() { "running" } else { "booting" })),
                            ("held_s", num(rented.held_since.elapsed().as_secs_f64())),
                        ])
                    })
                    .collect();
                (200, obj(vec![("boxes", Json::Arr(boxes)), ("has_next", Json::Bool(false))]).text())
            }
            _ => (400, "{}".into()),
        })
    }

    fn rent(&self, body: &Json) -> (u16, String) {
        let booking = body.get("booking").str().to_string();
        let answer = |names: &[String]| {
            (
                200,
                obj(vec![("boxes", Json::Arr(names.iter().map(|name| string(name.clone())).collect()))])
                    .text(),
            )
        };
        let mut state = self.state.lock().expect("cloud");
        if let Some(names) = state.bookings.get(&booking) {
            return answer(names);
        }
        let (kind, hall, loaners) =
            (body.get("boxkind").str(), body.get("hall").str(), body.get("loaners").bool());
        let in_use = state
            .machines
            .values()
            .filter(|rented| {
                rented.released.is_none()
                    && rented.place.boxkind == kind
                    && rented.place.hall == hall
                    && rented.place.loaners == loaners
            })
            .count();
        let stock = self
            .plan
            .stock
            .iter()
            .find(|stock| stock.kind == kind && stock.hall == hall && stock.loaners == loaners);
        let free = stock.map_or(0, |stock| stock.count).saturating_sub(in_use);
        let count = (body.get("how_many").u64().unwrap_or(0) as usize).min(50).min(free);
        if count == 0 {
            return (503, "{\"error\":\"no capacity\"}".into());
        }
        let mut names = Vec::new();
        for _ in 0..count {
            state.created += 1;
            let name = format!("host-{:06}", state.created);
            let place = Place { machine: name.clone(), boxkind: kind.into(), hall: hall.into(), loaners };
            state.machines.insert(
                name.clone(),
                Rented { place: place.clone(), held_since: Instant::now(), worker: None, released: None },
            );
            names.push(name.clone());
            let cloud = self.clone();
            let spec = self.plan.kinds.iter().find(|known| known.name == kind).expect("kind").clone();
            std::thread::spawn(move || {
                std::thread::sleep(Duration::from_secs_f64(spec.boot_s));
                let room =
                    Room { vcpus: spec.vcpus, memory_gb: spec.memory_gb, pull_gb_per_s: PULL_GB_PER_S };
                let mut state = cloud.state.lock().expect("cloud");
                let Some(rented) = state.machines.get_mut(&name).filter(|rented| rented.released.is_none())
                else {
                    return;
                };
                rented.worker = Some(Worker::start(
                    place,
                    room,
                    cloud.timings,
                    cloud.nodes.clone(),
                    cloud.world.clone(),
                    cloud.gangs.clone(),
                ));
            });
        }
        state.bookings.insert(booking, names.clone());
        answer(&names)
    }
}
