//! Requests to controllers that are in flight, and the checks of their responses.

use olivelatch::coordination::{Event, InboundId};
use olivelatch::protocol::HttpResponse;
use olivelatch::protocol::graphs::GraphRouteRequest;
use serde_json::Value;

use super::dag_runs::{GraphRequest, parse_route};
use super::operator_queries::QuerySubject;
use super::users::ResponseCheck;
use super::{ControllerSlot, SimulatedCluster};

/// The request that a response belongs to.
pub(super) enum PendingRequest {
    User {
        id: String,
        check: ResponseCheck,
    },
    Heartbeat {
        worker: usize,
        sent_at: u64,
        epoch: u64,
    },
    Operator(QuerySubject),
    Graph(GraphRequest),
    /// A poll of a run, by its path.
    DagRunView(String),
    /// A request about a config change, by the name of the change.
    Config(String),
}

impl SimulatedCluster {
    /// Returns one of the controllers that meet a condition. Successive requests alternate between them.
    pub(super) fn pick_controller(
        &self,
        is_candidate: impl Fn(&SimulatedCluster, usize) -> bool,
    ) -> Option<usize> {
        let candidates: Vec<usize> =
            (0..self.controllers.len()).filter(|index| is_candidate(self, *index)).collect();
        candidates.get(self.request_count as usize % candidates.len().max(1)).copied()
    }

    /// Returns a controller that is ready and that users can reach, as a load balancer would pick it.
    pub(super) fn pick_ready_controller(&self) -> Option<usize> {
        self.pick_controller(|cluster, index| {
            !cluster.is_cut(index, "users") && cluster.controllers[index].is_ready()
        })
    }

    /// Returns a running controller, whether ready or not.
    fn pick_running_controller(&self) -> Option<usize> {
        self.pick_controller(|cluster, index| cluster.controllers[index].controller.is_some())
    }

    /// Registers a request that is about to be sent to a controller, and returns its ID.
    pub(super) fn track_request(&mut self, controller: usize, request: PendingRequest) -> InboundId {
        self.request_count += 1;
        self.requests_in_flight.insert((controller, self.request_count), request);
        InboundId(self.request_count)
    }

    /// Sends the operators' queries that are due, each to any running controller.
    pub(super) fn send_operator_queries(&mut self) {
        for (subject, request) in self.operator_queries.due_queries(self.now) {
            let Some(controller) = self.pick_running_controller() else { return };
            let inbound = self.track_request(controller, PendingRequest::Operator(subject));
            self.final_states_at_request.insert((controller, inbound.0), self.final_states.clone());
            self.send_event(controller, Event::Operator { inbound, request });
        }
    }

    /// Sends the graph requests that are due: changes to a ready controller, queries to any running one.
    pub(super) fn send_graph_requests(&mut self) {
        for graph_request in self.dag_runs.due_requests(self.now) {
            let route = parse_route("POST", &graph_request.path, &graph_request.body);
            let GraphRouteRequest::Modify(request) = route else { continue };
            match self.pick_ready_controller() {
                Some(controller) => {
                    let inbound = self.track_request(controller, PendingRequest::Graph(graph_request));
                    self.send_event(controller, Event::Graph { inbound, request });
                }
                None => drop(self.dag_runs.handle_response(graph_request, None, self.now)),
            }
        }
        for path in self.dag_runs.due_polls(self.now) {
            let GraphRouteRequest::Query(request) = parse_route("GET", &path, &Value::Null) else { continue };
            let Some(controller) = self.pick_running_controller() else { return };
            let inbound = self.track_request(controller, PendingRequest::DagRunView(path));
            self.send_event(controller, Event::Operator { inbound, request });
        }
    }

    /// Handles a controller's response. A response to a request that is no longer tracked is ignored.
    pub(super) fn handle_response(&mut self, from: usize, inbound: InboundId, response: &HttpResponse) {
        let Some(request) = self.requests_in_flight.remove(&(from, inbound.0)) else { return };
        match request {
            PendingRequest::Heartbeat { worker, sent_at, epoch } => {
                self.handle_heartbeat_response(worker, sent_at, epoch, response);
            }
            PendingRequest::Operator(subject) => {
                let known = self.final_states_at_request.remove(&(from, inbound.0)).unwrap_or_default();
                let contradiction = self.operator_queries.find_contradiction(&subject, response, &known);
                let violation = contradiction
                    .or(self.operator_queries.handle_response(&subject, response, self.now).err());
                self.violations.extend(violation);
            }
            PendingRequest::Graph(graph_request) => {
                let violation = self.dag_runs.handle_response(graph_request, Some(response), self.now).err();
                self.violations.extend(violation);
                self.accepted_jobs.extend(std::mem::take(&mut self.dag_runs.accepted));
            }
            PendingRequest::Config(name) => self.handle_config_response(&name, Some(response)),
            PendingRequest::DagRunView(path) => {
                let violation = self.dag_runs.handle_poll_response(&path, response).err();
                self.violations.extend(violation);
            }
            PendingRequest::User { id, check } => self.handle_user_response(&id, check, response),
        }
    }

    /// Called when a controller was killed: the requests that it had not answered get no response.
    pub(super) fn abandon_requests(&mut self, controller: usize) {
        let unanswered: Vec<(usize, u64)> =
            self.requests_in_flight.keys().filter(|(to, _)| *to == controller).copied().collect();
        for key in unanswered {
            match self.requests_in_flight.remove(&key) {
                Some(PendingRequest::Heartbeat { worker, .. }) => {
                    self.retarget_heartbeats(worker, controller);
                }
                // The client sends it to another controller.
                Some(PendingRequest::Graph(graph_request)) => {
                    drop(self.dag_runs.handle_response(graph_request, None, self.now));
                }
                Some(PendingRequest::Config(name)) => self.handle_config_response(&name, None),
                Some(PendingRequest::User { id, check })
                    if check.includes_rules() && self.is_unacknowledged(&id) =>
                {
                    self.resubmit_later(&id);
                }
                _ => {}
            }
        }
    }

    /// Returns the index and incarnation of the leader.
    pub(super) fn current_leader(&self) -> Option<(usize, u64)> {
        let index = self.controllers.iter().position(ControllerSlot::is_leader)?;
        Some((index, self.controllers[index].incarnation))
    }
}
