//! A region on one machine.
//!
//! `Cloud` simulates the cloud, in memory and without a clock of its own: scenarios use it in virtual time, `LocalCluster`
//! behind sockets. `LocalCluster` is one thread around `polling`: it serves the kv store (`olivelatch-kv-store`), the cloud,
//! the workers (`olivelatch-worker`) and the job store, to which users upload descriptions, and starts the controllers. It
//! listens on loopback only, and sends a response only after what it reports is on disk. docs/local-cluster.md gives the reasons.

#![warn(missing_docs)]

mod addresses;
mod cloud;
mod cluster;
mod controllers;
mod error;
mod job_store;
mod machines;
mod settings;
mod task_outputs;

pub use addresses::ClusterAddresses;
pub use cloud::{Cloud, CloudMachine, MachineTypeSpec};
pub use cluster::{ClusterConfig, LocalCluster};
pub use controllers::ControllerPlan;
pub use error::LocalClusterError;
pub use settings::{
    ControllerQuota, KvLimits, ObjectivePlan, Platform, TeamSettings, WorkerTimings, controller_index,
    controller_name, controller_settings,
};
