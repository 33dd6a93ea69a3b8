//! Binds tasks to machines. A bound task is started only after the record of its binding is durable (`records`).

use crate::bookkeeping::jobs::JobSpec;
use crate::coordination::leader::records::assignment_log::TaskPlacement;
use crate::coordination::leader::{Binding, DispatchState, Leader};
use crate::ids::{Attempt, JobIx, MachineIx, TaskId};
use crate::protocol::operators::JobEventKind;
use crate::protocol::users::JobKind;

impl Leader {
    /// Binds the task to the machine and queues the record of the binding.
    pub(super) fn bind(&mut self, machine_ix: MachineIx, job_ix: JobIx, task: u32, attempt: Attempt) {
        let Some(job) = self.workload.jobs.get_mut(&job_ix) else {
            return;
        };
        let spec = job.spec.clone();
        if let Some(probation) = &mut job.probation {
            probation.queued = false;
        }
        let machine = &self.cluster.machines[machine_ix.index()];
        log::debug!("bound task: job={} task={task} machine={} attempt={}", spec.id, machine.name, attempt.0);
        self.record_image_use(machine_ix, spec.image, spec.image_mb);
        let binding = self.planned_binding(job_ix, &spec, task, attempt);
        let start = TaskPlacement { machine: machine_ix, task: binding.task, attempt };
        self.record_start(job_ix);
        self.event_log.record(spec.id, JobEventKind::Bound, Some(machine_ix), task, 1);
        self.add_binding(machine_ix, binding);
        if spec.kind == JobKind::Service {
            self.requeue_tasks_without_room(machine_ix);
        }
        self.assignment_log.queue_start(start);
        self.counters.tasks_bound += 1;
    }

    /// Returns the binding of the task on the machine, if there is one.
    pub(in crate::coordination::leader) fn binding_of(
        &self,
        machine_ix: MachineIx,
        job_ix: JobIx,
        task: u32,
    ) -> Option<&Binding> {
        let bindings = &self.cluster.machines[machine_ix.index()].bindings;
        bindings.iter().find(|binding| binding.job == Some(job_ix) && binding.task.task == task)
    }

    fn planned_binding(&self, job_ix: JobIx, spec: &JobSpec, task: u32, attempt: Attempt) -> Binding {
        Binding {
            task: TaskId { job: spec.id, task },
            job: Some(job_ix),
            attempt,
            need: spec.task_resources,
            team: Some(spec.team),
            pool: spec.pool(),
            best_effort: self.is_best_effort(spec),
            service: spec.kind == JobKind::Service,
            timed_out: false,
            dispatch: DispatchState::Planned,
            log_segment: None,
            reported_state: None,
            late_start_possible: false,
            fetching_since: None,
            running_since: None,
            stop_grace_ms: None,
            stop_sent_at: None,
            lease_renewal_cutoff: None,
        }
    }
}
