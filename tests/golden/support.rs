//! Golden files: what today's code writes, kept, and compared with what the code at hand writes. `GOLDEN_WRITE=1` writes
//! them. Bodies are kept as strings, so that they are compared byte for byte; what is around them is compared by value.

// Each test program uses a part of it.
#![allow(dead_code)]

use std::path::Path;

use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::{Map, Value};

/// Cases of one golden file by name.
pub struct Golden {
    folder: &'static str,
    name: &'static str,
    cases: Map<String, Value>,
}

impl Golden {
    /// `folder`: the crate's own, as cargo names it.
    pub fn new(folder: &'static str, name: &'static str) -> Golden {
        Golden { folder, name, cases: Map::new() }
    }

    /// A case's value; names are used once.
    pub fn case(&mut self, name: &str, value: impl Into<Value>) {
        assert!(self.cases.insert(name.into(), value.into()).is_none(), "{name} is there twice");
    }

    /// A message whose type both writes and reads: nothing of the sample is lost, its bytes are kept, and what was kept
    /// reads and writes the same.
    pub fn round_trip<T: Serialize + DeserializeOwned>(&mut self, name: &str, sample: Value) {
        let message: T =
            serde_json::from_value(sample.clone()).unwrap_or_else(|error| panic!("{name}: {error}"));
        let text = encode(&message);
        assert_eq!(serde_json::from_str::<Value>(&text).expect("JSON"), sample, "{name}");
        assert_eq!(encode(&decode::<T>(&text)), text, "{name}");
        if let Some(kept) = self.kept().and_then(|kept| kept[name].as_str().map(String::from)) {
            assert_eq!(encode(&decode::<T>(&kept)), kept, "{name}: as kept");
        }
        self.case(name, text);
    }

    fn path(&self) -> std::path::PathBuf {
        Path::new(self.folder).join("tests/golden").join(format!("{}.json", self.name))
    }

    /// The file; none while it is being written.
    pub fn kept(&self) -> Option<Value> {
        let text = std::fs::read_to_string(self.path());
        if write() { None } else { Some(decode(&text.expect("the golden file"))) }
    }

    /// Compares all cases with the file, or writes it.
    pub fn check(self) {
        let path = self.path();
        match self.kept() {
            None => {
                let text = serde_json::to_string_pretty(&self.cases).expect("JSON");
                std::fs::create_dir_all(path.parent().expect("a folder"))
                    .expect("the folder of golden files");
                std::fs::write(&path, text + "\n").expect("the golden file is written");
            }
            Some(kept) => {
                let kept = kept.as_object().expect("cases by name");
                let names = |cases: &Map<String, Value>| cases.keys().cloned().collect::<Vec<_>>();
                for (name, value) in &self.cases {
                    assert_eq!(Some(value), kept.get(name), "{}: {name}", self.name);
                }
                assert_eq!(names(kept), names(&self.cases), "{}", self.name);
            }
        }
    }
}

fn write() -> bool {
    std::env::var("GOLDEN_WRITE").is_ok_and(|value| value == "1")
}

/// As it goes over the wire.
pub fn encode(message: &impl Serialize) -> String {
    serde_json::to_string(message).expect("JSON")
}

pub fn decode<T: DeserializeOwned>(text: &str) -> T {
    serde_json::from_str(text).unwrap_or_else(|error| panic!("{text}: {error}"))
}
