//! The cloud that rents machines.

use serde::{Deserialize, Serialize};

use super::{HttpOutcome, HttpRequest};

#[derive(Debug, Clone, PartialEq)]
pub enum CloudRequest {
    Catalog,
    ScaleOut { request_id: String, machine_type: String, zone: String, spot: bool, count: u32 },
    ScaleIn { machines: Vec<String> },
    ListMachines { after: Option<String> },
}

/// A machine type as the cloud publishes it; also what is kept durably of it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineTypeRecord {
    pub name: String,
    #[serde(rename = "vcpus")]
    pub cpus: f64,
    #[serde(default, rename = "accelerators")]
    pub gpus: f64,
    pub memory_gb: f64,
    #[serde(default, rename = "local_gb")]
    pub image_cache_gb: f64,
    #[serde(default, rename = "pull_gb_per_s")]
    pub fetch_gb_per_s: f64,
    #[serde(default)]
    pub price: f64,
    #[serde(default, rename = "low_price")]
    pub spot_price: Option<f64>,
    #[serde(default, rename = "ready_s")]
    pub boot_s: f64,
    #[serde(default, rename = "halls")]
    pub zones: Vec<String>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CloudMachineState {
    Booting,
    Running,
    Failed,
}

#[derive(Debug, Clone, PartialEq)]
pub struct CloudMachine {
    pub name: String,
    pub endpoint: String,
    pub machine_type: String,
    pub zone: String,
    pub spot: bool,
    pub state: CloudMachineState,
    pub age_ms: u64,
}

#[derive(Debug, Clone, PartialEq)]
pub enum CloudReply {
    Catalog(Vec<MachineTypeRecord>),
    ScaledOut(Vec<String>),
    NoCapacity,
    ScaledIn,
    MachineList {
        machines: Vec<CloudMachine>,
        has_more: bool,
    },
    /// Not carried out (429, outage, or malformed).
    Rejected {
        status: u16,
    },
    /// It may have been carried out, or may be later.
    Unknown,
}

#[derive(Deserialize)]
struct CatalogWire {
    boxkinds: Vec<MachineTypeRecord>,
}

#[derive(Serialize)]
struct ScaleOutWire<'a> {
    booking: &'a str,
    boxkind: &'a str,
    hall: &'a str,
    loaners: bool,
    how_many: u32,
}

#[derive(Serialize, Deserialize)]
struct MachineNamesWire {
    boxes: Vec<String>,
}

#[derive(Deserialize)]
struct CloudMachineWire {
    uid: String,
    #[serde(default)]
    endpoint: Option<String>,
    boxkind: String,
    hall: String,
    loaners: bool,
    status: String,
    #[serde(default)]
    held_s: f64,
}

#[derive(Deserialize)]
struct MachineListWire {
    boxes: Vec<CloudMachineWire>,
    #[serde(default)]
    has_next: bool,
}

/// How many machines one page of the list holds, and how many names one release takes.
const LIST_PAGE_SIZE: u32 = 500;
pub const MAX_SCALE_IN_BATCH: usize = 100;
pub const MAX_SCALE_OUT_COUNT: u32 = 50;

impl CloudRequest {
    pub fn to_http_request(&self) -> HttpRequest {
        match self {
            CloudRequest::Catalog => HttpRequest::get("/catalog".into()),
            CloudRequest::ScaleOut { request_id: booking, machine_type: kind, zone, spot, count } => {
                HttpRequest::post(
                    "/hosts",
                    &ScaleOutWire {
                        booking,
                        boxkind: kind,
                        hall: zone,
                        loaners: *spot,
                        how_many: (*count).min(MAX_SCALE_OUT_COUNT),
                    },
                )
            }
            CloudRequest::ScaleIn { machines } => {
                HttpRequest::post("/hosts/release", &MachineNamesWire { boxes: machines.clone() })
            }
            CloudRequest::ListMachines { after } => {
                let after = after.as_ref().map_or(String::new(), |name| format!("after={name}&"));
                HttpRequest::get(format!("/hosts?{after}page={LIST_PAGE_SIZE}"))
            }
        }
    }

    pub fn parse_reply(&self, outcome: &HttpOutcome) -> CloudReply {
        match outcome {
            HttpOutcome::NotSent => CloudReply::Rejected { status: 503 },
            HttpOutcome::Unknown | HttpOutcome::TooLarge => CloudReply::Unknown,
            HttpOutcome::Response { status: 200, body } => {
                self.parse_success(body).unwrap_or(CloudReply::Unknown)
            }
            HttpOutcome::Response { status: 503, body }
                if String::from_utf8_lossy(body).contains("no capacity") =>
            {
                CloudReply::NoCapacity
            }
            HttpOutcome::Response { status, .. } => CloudReply::Rejected { status: *status },
        }
    }

    fn parse_success(&self, body: &[u8]) -> Option<CloudReply> {
        Some(match self {
            CloudRequest::Catalog => {
                CloudReply::Catalog(serde_json::from_slice::<CatalogWire>(body).ok()?.boxkinds)
            }
            CloudRequest::ScaleOut { .. } => {
                CloudReply::ScaledOut(serde_json::from_slice::<MachineNamesWire>(body).ok()?.boxes)
            }
            CloudRequest::ScaleIn { .. } => CloudReply::ScaledIn,
            CloudRequest::ListMachines { .. } => {
                let wire: MachineListWire = serde_json::from_slice(body).ok()?;
                CloudReply::MachineList {
                    has_more: wire.has_next,
                    machines: wire.boxes.into_iter().map(parse_machine).collect(),
                }
            }
        })
    }
}

fn parse_machine(wire: CloudMachineWire) -> CloudMachine {
    CloudMachine {
        state: match wire.status.as_str() {
            "running" => CloudMachineState::Running,
            "failed" => CloudMachineState::Failed,
            _ => CloudMachineState::Booting,
        },
        name: wire.uid,
        endpoint: wire.endpoint.unwrap_or_default(),
        machine_type: wire.boxkind,
        zone: wire.hall,
        spot: wire.loaners,
        age_ms: (wire.held_s.max(0.0) * 1000.0) as u64,
    }
}
