//! Wire messages, stored records and settings files compared byte for byte with the golden files in `tests/golden/`.
//! Samples are written as JSON with the wire's field names; `GOLDEN_WRITE=1` rewrites the files.

#[path = "golden/messages.rs"]
mod messages;
#[path = "golden/records.rs"]
mod records;
#[path = "golden/settings.rs"]
mod settings;
#[path = "golden/support.rs"]
mod support;
#[path = "golden/views.rs"]
mod views;
#[path = "golden/wire.rs"]
mod wire;

/// Opens the golden file `tests/golden/NAME.json` of this crate.
fn golden(name: &'static str) -> support::Golden {
    support::Golden::new(env!("CARGO_MANIFEST_DIR"), name)
}
