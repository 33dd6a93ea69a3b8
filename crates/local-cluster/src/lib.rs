//! A region on one machine.
//!
//! `Cloud` is the stand-in of the cloud, in memory and without a clock of its own: scenarios use it in virtual time, `Region`
//! behind sockets. `Region` is one thread around `polling`: it serves the state service (`olivelatch-kv-store`), the cloud,
//! the workers (`olivelatch-worker`) and the descriptions that users upload, and starts the controllers. Loopback only.
//! What was answered is on disk before the answer goes out. docs/local-cluster.md argues for it.

mod cloud;
mod cluster;
mod controllers;
mod job_store;
mod machines;
mod task_outputs;

pub use cloud::{Cloud, CloudMachine, MachineTypeSpec};
pub use cluster::{ClusterConfig, LocalCluster, LocalClusterError};
pub use controllers::{
    ClusterAddresses, ControllerPlan, ControllerQuota, KvLimits, ObjectivePlan, Platform, TeamSettings,
    WorkerTimings, controller_index, controller_name, controller_settings,
};
