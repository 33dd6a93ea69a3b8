//! The cases. Each starts a small deployment, causes its disruption and judges what users and the platform see.

mod cancelled_ahead;
mod close_looks;
mod empty_fleet;
mod faulty_machine;
mod service_beside;

use crate::{Setting, Verdict};

pub fn run(name: &str, setting: &Setting) -> Result<Verdict, String> {
    match name {
        "cancelled-ahead" => cancelled_ahead::run(setting),
        "close-looks" => close_looks::run(setting),
        "empty-fleet" => empty_fleet::run(setting),
        "faulty-machine" => faulty_machine::run(setting),
        "service-beside" => service_beside::run(setting),
        _ => Err(format!("no case {name}")),
    }
}
