//! The cloud that rents machines.

use serde::{Deserialize, Serialize};

use super::{Call, Outcome};

#[derive(Debug, Clone, PartialEq)]
pub enum CloudRequest {
    Catalog,
    Rent { booking: String, kind: String, zone: String, spot: bool, count: u32 },
    Release { machines: Vec<String> },
    List { after: Option<String> },
}

/// A machine type as the cloud publishes it; also what is kept durably of it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CatalogEntry {
    pub name: String,
    #[serde(rename = "vcpus")]
    pub cpus: f64,
    #[serde(default, rename = "accelerators")]
    pub gpus: f64,
    pub memory_gb: f64,
    #[serde(default, rename = "local_gb")]
    pub cache_gb: f64,
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
pub enum ListedState {
    Booting,
    Running,
    Failed,
}

#[derive(Debug, Clone, PartialEq)]
pub struct Listed {
    pub name: String,
    pub endpoint: String,
    pub kind: String,
    pub zone: String,
    pub spot: bool,
    pub state: ListedState,
    pub age_ms: u64,
}

#[derive(Debug, Clone, PartialEq)]
pub enum CloudReply {
    Catalog(Vec<CatalogEntry>),
    Rented(Vec<String>),
    NoCapacity,
    Released,
    List {
        machines: Vec<Listed>,
        more: bool,
    },
    /// Not carried out (429, outage, or malformed).
    Refused {
        status: u16,
    },
    /// It may have been carried out, or may be later.
    Unknown,
}

#[derive(Deserialize)]
struct CatalogWire {
    boxkinds: Vec<CatalogEntry>,
}

#[derive(Serialize)]
struct RentWire<'a> {
    booking: &'a str,
    boxkind: &'a str,
    hall: &'a str,
    loaners: bool,
    how_many: u32,
}

#[derive(Serialize, Deserialize)]
struct BoxesWire {
    boxes: Vec<String>,
}

#[derive(Deserialize)]
struct ListedWire {
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
struct ListWire {
    boxes: Vec<ListedWire>,
    #[serde(default)]
    has_next: bool,
}

/// How many machines one page of the list holds, and how many names one release takes.
const PAGE: u32 = 500;
pub const RELEASE_MOST: usize = 100;
pub const RENT_MOST: u32 = 50;

impl CloudRequest {
    pub fn to_call(&self) -> Call {
        match self {
            CloudRequest::Catalog => Call::get("/catalog".into()),
            CloudRequest::Rent { booking, kind, zone, spot, count } => Call::post(
                "/hosts",
                &RentWire {
                    booking,
                    boxkind: kind,
                    hall: zone,
                    loaners: *spot,
                    how_many: (*count).min(RENT_MOST),
                },
            ),
            CloudRequest::Release { machines } => {
                Call::post("/hosts/release", &BoxesWire { boxes: machines.clone() })
            }
            CloudRequest::List { after } => {
                let after = after.as_ref().map_or(String::new(), |name| format!("after={name}&"));
                Call::get(format!("/hosts?{after}page={PAGE}"))
            }
        }
    }

    pub fn read_reply(&self, outcome: &Outcome) -> CloudReply {
        match outcome {
            Outcome::NotSent => CloudReply::Refused { status: 503 },
            Outcome::Unknown | Outcome::TooLong => CloudReply::Unknown,
            Outcome::Response { status: 200, body } => self.read_ok(body).unwrap_or(CloudReply::Unknown),
            Outcome::Response { status: 503, body }
                if String::from_utf8_lossy(body).contains("no capacity") =>
            {
                CloudReply::NoCapacity
            }
            Outcome::Response { status, .. } => CloudReply::Refused { status: *status },
        }
    }

    fn read_ok(&self, body: &[u8]) -> Option<CloudReply> {
        Some(match self {
            CloudRequest::Catalog => {
                CloudReply::Catalog(serde_json::from_slice::<CatalogWire>(body).ok()?.boxkinds)
            }
            CloudRequest::Rent { .. } => {
                CloudReply::Rented(serde_json::from_slice::<BoxesWire>(body).ok()?.boxes)
            }
            CloudRequest::Release { .. } => CloudReply::Released,
            CloudRequest::List { .. } => {
                let wire: ListWire = serde_json::from_slice(body).ok()?;
                CloudReply::List {
                    more: wire.has_next,
                    machines: wire.boxes.into_iter().map(read_listed).collect(),
                }
            }
        })
    }
}

fn read_listed(wire: ListedWire) -> Listed {
    Listed {
        state: match wire.status.as_str() {
            "running" => ListedState::Running,
            "failed" => ListedState::Failed,
            _ => ListedState::Booting,
        },
        name: wire.uid,
        endpoint: wire.endpoint.unwrap_or_default(),
        kind: wire.boxkind,
        zone: wire.hall,
        spot: wire.loaners,
        age_ms: (wire.held_s.max(0.0) * 1000.0) as u64,
    }
}
