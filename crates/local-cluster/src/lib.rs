//! A cluster on one machine.
//!
//! `LocalCluster` is a single thread around `polling`. It serves the key-value store (`olivelatch-kv-store`), a
//! simulated cloud, the workers (`olivelatch-worker`) and the job store, to which users upload job descriptions, and
//! it starts the controllers. It listens only on loopback addresses, and sends a response only after everything that
//! the response reports is on disk. docs/local-cluster.md gives the reasons.
//!
//! `Cloud` simulates the cloud in memory and reads no clock, so scenarios can use it in virtual time.

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
