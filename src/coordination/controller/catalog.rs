//! The catalog of machine types, which a controller loads from the cloud provider if its records contain
//! none.

use super::Controller;
use crate::coordination::{Action, Clock, OutboundId};
use crate::ids::Millis;
use crate::protocol::HttpOutcome;
use crate::protocol::cloud::{CloudReply, CloudRequest};

const RETRY_MS: u64 = 3_000;
const TIMEOUT_MS: u64 = 3_000;
/// Id of catalog requests: it differs from the ids of the leader's other requests and of direct commands.
const CATALOG_OUTBOUND_ID: OutboundId = OutboundId((1 << 63) - 1);

/// Requests the catalog, and repeats the request until the catalog has been loaded.
#[derive(Debug, Default)]
pub(super) struct CatalogLoader {
    next_request_at: Millis,
}

impl CatalogLoader {
    fn request(&mut self, now: Millis, out: &mut Vec<Action>) {
        if now < self.next_request_at {
            return;
        }
        self.next_request_at = now.saturating_add(RETRY_MS);
        out.push(Action::CallCloud {
            outbound: CATALOG_OUTBOUND_ID,
            request: CloudRequest::Catalog,
            timeout_ms: TIMEOUT_MS,
        });
    }
}

impl Controller {
    /// Requests the catalog if the records contain no machine types and a request is due.
    pub(super) fn request_catalog(&mut self, clock: Clock, out: &mut Vec<Action>) {
        if self.kv_client.loaded && self.state.cache.machine_types.is_empty() {
            self.catalog.request(clock.now, out);
        }
    }

    pub(super) fn handle_cloud_response(
        &mut self,
        clock: Clock,
        outbound: OutboundId,
        outcome: &HttpOutcome,
    ) {
        if outbound == CATALOG_OUTBOUND_ID {
            self.load_catalog(outcome);
            return;
        }
        if let Some(leader) = &mut self.state.leader
            && leader.owns_outbound(outbound)
        {
            leader.handle_cloud_response(clock, outbound, outcome, &mut self.state.cache);
        }
    }

    fn load_catalog(&mut self, outcome: &HttpOutcome) {
        let CloudReply::Catalog(machine_types) = CloudRequest::Catalog.parse_reply(outcome) else { return };
        let cache = &mut self.state.cache;
        cache.machine_types.extend(machine_types.into_iter().map(|entry| (entry.name.clone(), entry)));
        if let Some(leader) = &mut self.state.leader {
            leader.load_machine_types(cache);
        }
    }
}
