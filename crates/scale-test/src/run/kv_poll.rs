//! Polls the kv store's process for its counters and for the leader that its records name.

use std::net::SocketAddr;

use olivelatch_net::client::CallSlot;
use olivelatch_net::http::Response;

use super::network::Network;
use super::{CONTROL_REQUEST_TIMEOUT_MS, START_TIMEOUT_MS, STATUS_INTERVAL_MS, ScaleRun};
use crate::control::KvMeasurements;
use crate::error::ScaleError;
use crate::measurements::LeaderChange;

/// Call slot of the kv store polls; smaller slots belong to zones.
pub(super) const KV_SLOT: usize = 1_000;

pub(super) struct KvPoller {
    /// Address at which the process serves its measurements.
    control: SocketAddr,
    /// Measurements in the last response.
    pub(super) measurements: KvMeasurements,
    /// Measurements when the load began.
    pub(super) at_load_start: KvMeasurements,
    next_poll: u64,
    in_flight: bool,
}

impl KvPoller {
    pub(super) fn new(control: SocketAddr) -> KvPoller {
        KvPoller {
            control,
            measurements: KvMeasurements::default(),
            at_load_start: KvMeasurements::default(),
            next_poll: 0,
            in_flight: false,
        }
    }

    /// Sends a poll if one is due and none is in flight.
    pub(super) fn poll(&mut self, network: &mut Network, now: u64) {
        if now < self.next_poll || self.in_flight {
            return;
        }
        self.next_poll = now + STATUS_INTERVAL_MS;
        self.in_flight = true;
        let request = ("GET", "/figures", b"".as_slice());
        network.send(CallSlot(KV_SLOT), self.control, request, now + CONTROL_REQUEST_TIMEOUT_MS);
    }

    /// Stores the measurements of a response; returns the leader if it has changed.
    fn handle_response(
        &mut self,
        response: Option<&Response>,
        now: u64,
    ) -> Result<Option<String>, ScaleError> {
        self.in_flight = false;
        let Some(response) = response else {
            if now < START_TIMEOUT_MS {
                return Ok(None);
            }
            return Err(ScaleError::Process(
                "the kv store process did not respond; see state.log in the output directory".into(),
            ));
        };
        let measurements: KvMeasurements = serde_json::from_slice(&response.body)
            .map_err(|error| ScaleError::Json { what: "measurements of the kv store".into(), error })?;
        let previous = std::mem::replace(&mut self.measurements, measurements);
        let leader = self.measurements.leader.clone();
        Ok(leader.filter(|leader| previous.leader.as_ref() != Some(leader)))
    }
}

impl ScaleRun {
    pub(super) fn handle_kv_response(&mut self, response: Option<&Response>) -> Result<(), ScaleError> {
        let now = self.clock.now();
        if let Some(controller) = self.kv.handle_response(response, now)? {
            let seconds_since = |begin: u64| now.saturating_sub(begin) as f64 / 1000.0;
            self.report.leader_changes.push(LeaderChange {
                at_s: seconds_since(self.load.start_ms),
                controller,
                after_kill_s: self.leader_killed_at.map(seconds_since),
                first_start_s: None,
            });
        }
        Ok(())
    }
}
