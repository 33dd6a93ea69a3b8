//! The capacity plan: which machines the jobs need to complete in time, and how many have to be requested.
//!
//! Jobs are assigned to machines in the order of their priority class and objectives, to the cheapest machines
//! first. For tasks that do not fit, machines are requested from the cloud. Machines to which nothing was
//! assigned are cordoned: they take no queued tasks, so that they become empty and can be returned. A plan is
//! computed from scratch each time and changes nothing until it is complete.

mod array_demand;
mod deadlines;
mod gang_demand;
mod planned_machines;
mod zone_demand;

use std::collections::BTreeMap;

use super::machine_set::MachineSet;
use super::provisioner::InstanceOffer;
use crate::bookkeeping::store_cache::StoreCache;
use crate::coordination::Clock;
use crate::coordination::leader::{JobState, Leader, MachineType};
use crate::ids::{JobIx, ZoneIx};
use crate::protocol::cloud::MAX_SCALE_OUT_COUNT;
use planned_machines::PlannedMachine;

/// A capacity plan while it is being computed.
struct CapacityPlan<'a> {
    leader: &'a Leader,
    clock: Clock,
    planned_machines: Vec<PlannedMachine>,
    needed_machines: MachineSet,
    gang_machines: MachineSet,
    /// Machines of pending requests that no job of the plan uses yet.
    pending: BTreeMap<InstanceOffer, u32>,
    /// CPU milliseconds that no job uses yet on the machines that the plan wants to request.
    spare_capacity: BTreeMap<InstanceOffer, u64>,
    /// The number of machines that the plan wants of each offer, including those of pending requests.
    wanted_offers: BTreeMap<InstanceOffer, u32>,
}

/// A job with the properties that determine its place in the planning order.
struct PlannedJob<'a> {
    ix: JobIx,
    state: &'a JobState,
    is_array: bool,
    time_left_ms: u64,
}

impl Leader {
    /// Plans capacity: requests missing machines and cordons machines that are not needed.
    pub(super) fn plan_capacity(&mut self, clock: Clock, cache: &StoreCache) {
        self.remove_settled_requests(clock);
        if self.cluster.machine_types.is_empty() {
            return;
        }
        self.update_overload_measures(clock);
        let mut plan = CapacityPlan::new(self, clock);
        plan.assign_jobs();
        let (needed, wanted_offers) = (plan.needed_machines, plan.wanted_offers);
        self.update_cordons(&needed);
        self.provisioner.needed_machines = needed;
        self.request_wanted_machines(wanted_offers, cache);
    }

    /// Updates the measures against overload, which depend on load and time. The plan is based on them.
    fn update_overload_measures(&mut self, clock: Clock) {
        self.update_guaranteed_jobs();
        self.update_past_slo_jobs(clock);
        self.update_headroom(clock);
        if self.tunables.overload.preemption {
            self.preempt_for_waiting_arrays(clock);
        }
    }

    fn update_cordons(&mut self, needed: &MachineSet) {
        for ix in self.cluster.machine_indices() {
            let cordoned = !needed.contains(ix);
            if cordoned == self.cluster.machines[ix.index()].cordoned {
                continue;
            }
            self.cluster.machines[ix.index()].cordoned = cordoned;
            self.refresh_placement_index(ix);
        }
    }

    fn request_wanted_machines(&mut self, wanted_offers: BTreeMap<InstanceOffer, u32>, cache: &StoreCache) {
        let pending = self.provisioner.pending_requests();
        for (offer, wanted) in wanted_offers {
            let missing = wanted.saturating_sub(pending.get(&offer).copied().unwrap_or(0));
            if missing > 0 {
                self.create_provisioning_request(offer, missing.min(MAX_SCALE_OUT_COUNT), cache);
            }
        }
    }
}

impl<'a> CapacityPlan<'a> {
    fn new(leader: &'a Leader, clock: Clock) -> CapacityPlan<'a> {
        CapacityPlan {
            leader,
            clock,
            planned_machines: leader.planned_machines(clock),
            needed_machines: MachineSet::default(),
            gang_machines: MachineSet::default(),
            pending: leader.provisioner.pending_requests(),
            spare_capacity: BTreeMap::new(),
            wanted_offers: BTreeMap::new(),
        }
    }

    /// Assigns all jobs: gangs and services first, then arrays, each ordered by priority class and the time left.
    fn assign_jobs(&mut self) {
        let leader = self.leader;
        let mut jobs: Vec<PlannedJob<'_>> = leader
            .workload
            .jobs
            .iter()
            .map(|(ix, state)| PlannedJob {
                ix: *ix,
                state,
                is_array: !state.spec.is_all_or_nothing(),
                time_left_ms: leader.time_left_ms(state, self.clock),
            })
            .collect();
        jobs.sort_by_key(|job| (job.is_array, job.state.spec.priority_class, job.time_left_ms, job.ix));
        for job in jobs {
            if job.is_array {
                self.assign_array(job.state, job.time_left_ms);
            } else {
                self.assign_gang(job.ix, job.state);
            }
        }
    }

    /// Adds machines of pending requests that suit the job to the wanted machines, as long as `try_use`
    /// accepts another one.
    fn use_pending_requests(
        &mut self,
        job_state: &JobState,
        mut try_use: impl FnMut(ZoneIx, &MachineType) -> bool,
    ) {
        let spec = &job_state.spec;
        for (offer, count) in &mut self.pending {
            let Some(machine_type) = self.leader.cluster.machine_types.get(&offer.machine_type) else {
                continue;
            };
            let fits = spec.task_resources.fits_in(&machine_type.capacity);
            if !fits || !spec.allows(offer.machine_type, offer.zone, offer.spot) {
                continue;
            }
            while *count > 0 && try_use(offer.zone, machine_type) {
                *count -= 1;
                *self.wanted_offers.entry(*offer).or_default() += 1;
            }
        }
    }
}
