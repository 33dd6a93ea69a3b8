//! Routes HTTP requests: maps method, path and body to a typed request.
//!
//! Paths of disabled interfaces respond with 404. Routing looks up no state: whether a job exists is checked later.

use crate::ids::JobId;
use crate::protocol::HttpResponse;
use crate::protocol::config::{ConfigRequest, parse_config_request};
use crate::protocol::graphs::{DagRequest, GraphRouteRequest, parse_graph_request};
use crate::protocol::operators::{OperatorRequest, parse_operator_request};
use crate::protocol::query_params::parse_job_id;
use crate::protocol::users::{UserRequest, parse_submission};
use crate::protocol::workers::{Heartbeat, parse_heartbeat};
use olivelatch_net::http::Request;

/// The component that handles a request, with the request in typed form.
pub(super) enum Route {
    /// The health check.
    Ready,
    User(UserRequest),
    Heartbeat(Box<Heartbeat>),
    Operator(OperatorRequest),
    Graph(Box<DagRequest>),
    Config(Box<ConfigRequest>),
    /// The request is invalid; this is the response to it.
    Respond(HttpResponse),
}

/// The optional interfaces that are enabled.
#[derive(Debug, Clone, Copy)]
pub(super) struct EnabledApis {
    pub(super) operators: bool,
    pub(super) graphs: bool,
    pub(super) config: bool,
}

/// Parses a request and determines its handler.
pub(super) fn route(request: &Request, enabled_apis: EnabledApis) -> Route {
    let EnabledApis { operators, graphs, config } = enabled_apis;
    let (path, query) = request.path.split_once('?').unwrap_or((&request.path, ""));
    if graphs && let Some(routed) = route_graph(request, path, query) {
        return routed;
    }
    if config && let Some(routed) = route_config(request, path, query) {
        return routed;
    }
    if operators && let Some(routed) = route_operator(request, path, query) {
        return routed;
    }
    let segments: Vec<&str> = path.split('/').skip(1).collect();
    let (method, action): (&str, &dyn Fn() -> Route) = match segments.as_slice() {
        ["ready"] => ("GET", &|| Route::Ready),
        ["v1", "report"] => ("POST", &|| match parse_heartbeat(&request.body) {
            Some(heartbeat) => Route::Heartbeat(Box::new(heartbeat)),
            None => Route::Respond(HttpResponse::error(400, "invalid report body")),
        }),
        ["work"] => ("POST", &|| match parse_submission(&request.body) {
            Ok(submission) => Route::User(submission),
            Err(response) => Route::Respond(response),
        }),
        ["work", id] => ("GET", &|| with_job_id(id, |id| UserRequest::Poll { id })),
        ["work", id, "abort"] => ("POST", &|| with_job_id(id, |id| UserRequest::Cancel { id })),
        _ => return Route::Respond(HttpResponse::error(404, "no such path")),
    };
    if request.method != method {
        return Route::Respond(HttpResponse::error(405, &format!("method not allowed: expected {method}")));
    }
    action()
}

fn route_graph(request: &Request, path: &str, query: &str) -> Option<Route> {
    let parsed = parse_graph_request(&request.method, path.strip_prefix("/v1/")?, query, &request.body)?;
    Some(match parsed {
        Ok(GraphRouteRequest::Query(request)) => Route::Operator(request),
        Ok(GraphRouteRequest::Modify(request)) => Route::Graph(Box::new(request)),
        Err(response) => Route::Respond(response),
    })
}

fn route_config(request: &Request, path: &str, query: &str) -> Option<Route> {
    let parsed = parse_config_request(&request.method, path.strip_prefix("/v1/")?, query, &request.body)?;
    Some(match parsed {
        Ok(request) => Route::Config(Box::new(request)),
        Err(response) => Route::Respond(response),
    })
}

fn route_operator(request: &Request, path: &str, query: &str) -> Option<Route> {
    let parsed = match path {
        "/metrics" => Ok(OperatorRequest::Metrics),
        _ => parse_operator_request(path.strip_prefix("/v1/")?, query)?,
    };
    Some(match parsed {
        _ if request.method != "GET" => {
            Route::Respond(HttpResponse::error(405, "method not allowed: expected GET"))
        }
        Ok(request) => Route::Operator(request),
        Err(response) => Route::Respond(response),
    })
}

fn with_job_id(id: &str, build: impl Fn(JobId) -> UserRequest) -> Route {
    match parse_job_id(id) {
        Ok(id) => Route::User(build(id)),
        Err(response) => Route::Respond(response),
    }
}
