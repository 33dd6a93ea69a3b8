//! What goes over the wire, is stored, and is read from files, byte for byte as the golden files have it
//! (`tests/golden/`). Messages are samples in the words of the wire; `GOLDEN_WRITE=1` writes the files.

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

/// The golden file of a name, in this crate's folder.
fn golden(name: &'static str) -> support::Golden {
    support::Golden::new(env!("CARGO_MANIFEST_DIR"), name)
}
