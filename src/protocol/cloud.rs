//! Requests to the cloud that provisions machines, its replies, and their HTTP form.
//!
//! This module only parses and serializes. Replies distinguish requests that were not carried out
//! ([`CloudReply::Rejected`]) from those that may have been ([`CloudReply::Unknown`]).

use serde::{Deserialize, Serialize};

use super::{HttpOutcome, HttpRequest};

/// Maximum number of machines per page of the machine list.
const LIST_PAGE_SIZE: u32 = 500;
/// Maximum number of machines that one request gives back to the cloud.
pub const MAX_SCALE_IN_BATCH: usize = 100;
/// Maximum number of machines that one request provisions.
pub const MAX_SCALE_OUT_COUNT: u32 = 50;

/// A request to the cloud.
#[derive(Debug, Clone, PartialEq)]
pub enum CloudRequest {
    /// Requests the machine types that the cloud offers.
    Catalog,
    /// Provisions machines. `request_id` makes the request idempotent.
    ScaleOut { request_id: String, machine_type: String, zone: String, spot: bool, count: u32 },
    /// Gives machines back to the cloud.
    ScaleIn { machines: Vec<String> },
    /// Lists the provisioned machines, starting after the machine named `after`.
    ListMachines { after: Option<String> },
}

/// A machine type as the cloud publishes it; stored in the same form.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineTypeRecord {
    pub name: String,
    #[serde(rename = "vcpus")]
    pub cpus: f64,
    #[serde(default, rename = "accelerators")]
    pub gpus: f64,
    pub memory_gb: f64,
    /// Local disk space for cached images, in GB.
    #[serde(default, rename = "local_gb")]
    pub image_cache_gb: f64,
    /// Rate at which images are fetched, in GB per second; 0 if the cloud does not publish it.
    #[serde(default, rename = "pull_gb_per_s")]
    pub fetch_gb_per_s: f64,
    /// Price of an on-demand instance, in the cloud's unit; only comparisons between prices matter.
    #[serde(default)]
    pub price: f64,
    /// Price of a spot instance, in the same unit; null if the type has none.
    #[serde(default, rename = "low_price")]
    pub spot_price: Option<f64>,
    /// Typical time from the provisioning request to the first heartbeat, in seconds.
    #[serde(default, rename = "ready_s")]
    pub boot_s: f64,
    /// Zones in which the type is offered.
    #[serde(default, rename = "halls")]
    pub zones: Vec<String>,
}

/// The state of a machine according to the cloud's list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CloudMachineState {
    Booting,
    Running,
    Failed,
}

/// A machine in the cloud's list.
#[derive(Debug, Clone, PartialEq)]
pub struct CloudMachine {
    pub name: String,
    /// Address of its worker; empty until the cloud knows it.
    pub endpoint: String,
    pub machine_type: String,
    pub zone: String,
    pub spot: bool,
    pub state: CloudMachineState,
    /// Time since it was provisioned, in milliseconds.
    pub age_ms: u64,
}

/// A reply of the cloud, or the outcome of a request that got none.
#[derive(Debug, Clone, PartialEq)]
pub enum CloudReply {
    Catalog(Vec<MachineTypeRecord>),
    /// Names of the machines that were provisioned.
    ScaledOut(Vec<String>),
    NoCapacity,
    ScaledIn,
    MachineList {
        machines: Vec<CloudMachine>,
        has_more: bool,
    },
    /// Not carried out: the request was not sent (503), was rate-limited or malformed, or the cloud is down.
    Rejected {
        status: u16,
    },
    /// The request may have been carried out, or may still be.
    Unknown,
}

#[derive(Deserialize)]
struct CatalogWire {
    #[serde(rename = "boxkinds")]
    machine_types: Vec<MachineTypeRecord>,
}

#[derive(Serialize)]
struct ScaleOutWire<'a> {
    #[serde(rename = "booking")]
    request_id: &'a str,
    #[serde(rename = "boxkind")]
    machine_type: &'a str,
    #[serde(rename = "hall")]
    zone: &'a str,
    #[serde(rename = "loaners")]
    spot: bool,
    #[serde(rename = "how_many")]
    count: u32,
}

#[derive(Serialize, Deserialize)]
struct MachineNamesWire {
    #[serde(rename = "boxes")]
    machines: Vec<String>,
}

#[derive(Deserialize)]
struct CloudMachineWire {
    #[serde(rename = "uid")]
    name: String,
    #[serde(default)]
    endpoint: Option<String>,
    #[serde(rename = "boxkind")]
    machine_type: String,
    #[serde(rename = "hall")]
    zone: String,
    #[serde(rename = "loaners")]
    spot: bool,
    #[serde(rename = "status")]
    state: String,
    #[serde(default, rename = "held_s")]
    age_s: f64,
}

#[derive(Deserialize)]
struct MachineListWire {
    #[serde(rename = "boxes")]
    machines: Vec<CloudMachineWire>,
    #[serde(default, rename = "has_next")]
    has_more: bool,
}

impl CloudRequest {
    /// Returns the HTTP form of the request. A count above [`MAX_SCALE_OUT_COUNT`] is lowered to it.
    pub fn to_http_request(&self) -> HttpRequest {
        match self {
            CloudRequest::Catalog => HttpRequest::get("/catalog".into()),
            CloudRequest::ScaleOut { request_id, machine_type, zone, spot, count } => HttpRequest::post(
                "/hosts",
                &ScaleOutWire {
                    request_id,
                    machine_type,
                    zone,
                    spot: *spot,
                    count: (*count).min(MAX_SCALE_OUT_COUNT),
                },
            ),
            CloudRequest::ScaleIn { machines } => {
                HttpRequest::post("/hosts/release", &MachineNamesWire { machines: machines.clone() })
            }
            CloudRequest::ListMachines { after } => {
                let after = after.as_ref().map_or(String::new(), |name| format!("after={name}&"));
                HttpRequest::get(format!("/hosts?{after}page={LIST_PAGE_SIZE}"))
            }
        }
    }

    /// Converts the HTTP outcome of this request to a reply.
    pub fn parse_reply(&self, outcome: &HttpOutcome) -> CloudReply {
        match outcome {
            HttpOutcome::NotSent => CloudReply::Rejected { status: 503 },
            HttpOutcome::Unknown | HttpOutcome::TooLarge => CloudReply::Unknown,
            HttpOutcome::Response { status: 200, body } => {
                self.parse_success(body).unwrap_or(CloudReply::Unknown)
            }
            HttpOutcome::Response { status: 503, body } if reports_no_capacity(body) => {
                CloudReply::NoCapacity
            }
            HttpOutcome::Response { status, .. } => CloudReply::Rejected { status: *status },
        }
    }

    fn parse_success(&self, body: &[u8]) -> Option<CloudReply> {
        Some(match self {
            CloudRequest::Catalog => {
                CloudReply::Catalog(serde_json::from_slice::<CatalogWire>(body).ok()?.machine_types)
            }
            CloudRequest::ScaleOut { .. } => {
                CloudReply::ScaledOut(serde_json::from_slice::<MachineNamesWire>(body).ok()?.machines)
            }
            CloudRequest::ScaleIn { .. } => CloudReply::ScaledIn,
            CloudRequest::ListMachines { .. } => {
                let wire: MachineListWire = serde_json::from_slice(body).ok()?;
                CloudReply::MachineList {
                    has_more: wire.has_more,
                    machines: wire.machines.into_iter().map(parse_machine).collect(),
                }
            }
        })
    }
}

/// Returns whether a 503 response means a lack of capacity. An outage has the same status; only the text of the
/// response tells the two apart.
fn reports_no_capacity(body: &[u8]) -> bool {
    String::from_utf8_lossy(body).contains("no capacity")
}

fn parse_machine(wire: CloudMachineWire) -> CloudMachine {
    CloudMachine {
        state: match wire.state.as_str() {
            "running" => CloudMachineState::Running,
            "failed" => CloudMachineState::Failed,
            _ => CloudMachineState::Booting,
        },
        name: wire.name,
        endpoint: wire.endpoint.unwrap_or_default(),
        machine_type: wire.machine_type,
        zone: wire.zone,
        spot: wire.spot,
        age_ms: (wire.age_s.max(0.0) * 1000.0) as u64,
    }
}
