//! A region on one machine.
//!
//! `Cloud` is the stand-in of the cloud, in memory and without a clock of its own: scenarios use it in virtual time, `Region`
//! behind sockets. `Region` is one thread around `polling`: it serves the state service (`olivelatch-store`), the cloud,
//! the workers (`olivelatch-worker`) and the descriptions that users upload, and starts the controllers. Loopback only.
//! What was answered is on disk before the answer goes out. docs/region.md argues for it.

mod cloud;
mod controllers;
mod desk;
mod machines;
mod outputs;
mod region;

pub use cloud::{Cloud, KindSpec, Rented};
pub use controllers::{
    AimPlan, ControllerPlan, Plan, Platform, QuotaPlan, StatePlan, TeamPlan, WorkerPlan, controller_name,
    controller_place, controller_settings,
};
pub use region::{Region, RegionError, Shape};
