//! Golden files: recorded outputs that the current code must still produce. `GOLDEN_WRITE=1` rewrites them. Message
//! bodies are stored as strings, and so they are compared byte for byte; everything around them is compared as JSON.

// Each test binary uses only some of these functions.
#![allow(dead_code)]

use std::path::Path;

use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::{Map, Value};

/// The cases of one golden file, by name.
pub struct Golden {
    crate_folder: &'static str,
    name: &'static str,
    cases: Map<String, Value>,
}

impl Golden {
    /// `crate_folder`: the crate's `CARGO_MANIFEST_DIR`; `name`: the file name without its extension.
    pub fn new(crate_folder: &'static str, name: &'static str) -> Golden {
        Golden { crate_folder, name, cases: Map::new() }
    }

    /// Adds a case. Panics when the name is already taken.
    pub fn case(&mut self, name: &str, value: impl Into<Value>) {
        assert!(self.cases.insert(name.into(), value.into()).is_none(), "duplicate case {name}");
    }

    /// Adds a case for a type that is both serialized and deserialized: no field of the sample is lost, and both its
    /// encoding and the recorded one survive a round trip byte for byte.
    pub fn round_trip<T: Serialize + DeserializeOwned>(&mut self, name: &str, sample: &Value) {
        let message: T =
            serde_json::from_value(sample.clone()).unwrap_or_else(|error| panic!("{name}: {error}"));
        let text = encode(&message);
        assert_eq!(serde_json::from_str::<Value>(&text).expect("JSON"), *sample, "{name}");
        assert_eq!(encode(&decode::<T>(&text)), text, "{name}");
        if let Some(recorded) = self.recorded().and_then(|cases| cases[name].as_str().map(String::from)) {
            assert_eq!(encode(&decode::<T>(&recorded)), recorded, "{name}: the recorded encoding");
        }
        self.case(name, text);
    }

    fn path(&self) -> std::path::PathBuf {
        Path::new(self.crate_folder).join("tests/golden").join(format!("{}.json", self.name))
    }

    /// The cases as recorded in the file; `None` when the file is being rewritten.
    pub fn recorded(&self) -> Option<Value> {
        let text = std::fs::read_to_string(self.path());
        if is_rewriting() { None } else { Some(decode(&text.expect("the golden file"))) }
    }

    /// Compares all cases with the recorded ones, or rewrites the file if `GOLDEN_WRITE=1` is set.
    pub fn check(self) {
        let path = self.path();
        match self.recorded() {
            None => {
                let text = serde_json::to_string_pretty(&self.cases).expect("JSON");
                std::fs::create_dir_all(path.parent().expect("a folder"))
                    .expect("the folder of golden files");
                std::fs::write(&path, text + "\n").expect("the golden file is written");
            }
            Some(recorded) => {
                let recorded = recorded.as_object().expect("cases by name");
                let names = |cases: &Map<String, Value>| cases.keys().cloned().collect::<Vec<_>>();
                for (name, value) in &self.cases {
                    assert_eq!(Some(value), recorded.get(name), "{}: {name}", self.name);
                }
                assert_eq!(names(recorded), names(&self.cases), "{}", self.name);
            }
        }
    }
}

fn is_rewriting() -> bool {
    std::env::var("GOLDEN_WRITE").is_ok_and(|value| value == "1")
}

/// JSON as it is sent over the wire.
pub fn encode(message: &impl Serialize) -> String {
    serde_json::to_string(message).expect("JSON")
}

/// Deserializes JSON. Panics with the text if it cannot be parsed.
pub fn decode<T: DeserializeOwned>(text: &str) -> T {
    serde_json::from_str(text).unwrap_or_else(|error| panic!("{text}: {error}"))
}
