//! Typed reading of JSON objects; faults are collected with their paths.

use super::Value;
use simd_json::prelude::*;

/// The maximum number of faults reported for one document.
const MAX_FAULTS: usize = 100;
/// The longest name in bytes.
const MAX_NAME_BYTES: usize = 64;

/// The faults found so far, each as `path: what is wrong`.
#[derive(Default, Debug)]
pub struct Faults(Vec<String>);

impl Faults {
    /// Records a fault; beyond `MAX_FAULTS` they are dropped, to bound memory.
    pub fn add(&mut self, path: &str, fault: impl std::fmt::Display) {
        if self.0.len() < MAX_FAULTS {
            self.0.push(format!("{path}: {fault}"));
        }
    }

    /// Whether no fault was found.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// All faults in the order they were found.
    #[must_use]
    pub fn into_list(self) -> Vec<String> {
        self.0
    }

    /// Reads an object; keys that are not in `keys` are faults.
    pub fn object<'v>(
        &mut self,
        value: &'v Value,
        path: &str,
        keys: &[&str],
    ) -> Option<ObjectReader<'v>> {
        let Some(object) = value.as_object() else {
            self.add(path, "must be an object");
            return None;
        };
        let mut given: Vec<&str> = object.keys().map(|key| key.as_str()).collect();
        given.sort_unstable();
        for key in given.into_iter().filter(|key| !keys.contains(key)) {
            self.add(&join(path, key), "unknown field");
        }
        Some(ObjectReader {
            value,
            path: path.to_string(),
        })
    }

    /// Reads an object keyed by name; returns its members sorted by name.
    pub fn named<'v>(&mut self, value: Option<&'v Value>, path: &str) -> Vec<(&'v str, &'v Value)> {
        let Some(value) = value else {
            return Vec::new();
        };
        let Some(object) = value.as_object() else {
            self.add(path, "must be an object keyed by name");
            return Vec::new();
        };
        let members = object.iter();
        let mut members: Vec<(&str, &Value)> = members.map(|(k, v)| (k.as_str(), v)).collect();
        members.sort_by(|a, b| a.0.cmp(b.0));
        for (name, _) in &members {
            if !is_valid_name(name) {
                let fault = "a name has 1 to 64 of a-z, A-Z, 0-9, '-', '_', '.'";
                self.add(&join(path, name), fault);
            }
        }
        members
    }
}

/// Whether a text is a name: 1 to 64 of `a-z`, `A-Z`, `0-9`, `-`, `_` and `.`.
#[must_use]
pub fn is_valid_name(text: &str) -> bool {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    (1..=MAX_NAME_BYTES).contains(&text.len()) && text.bytes().all(is_allowed)
}

/// The path of a member of the object at `path`.
#[must_use]
pub fn join(path: &str, key: &str) -> String {
    if path.is_empty() {
        key.to_string()
    } else {
        format!("{path}.{key}")
    }
}

/// Reads typed members of an object. A member of the wrong type is a fault and is
/// read as absent.
pub struct ObjectReader<'v> {
    value: &'v Value,
    path: String,
}

impl<'v> ObjectReader<'v> {
    /// The path of a member.
    #[must_use]
    pub fn at(&self, key: &str) -> String {
        join(&self.path, key)
    }

    /// A member of any type.
    #[must_use]
    pub fn get(&self, key: &str) -> Option<&'v Value> {
        self.value.get(key)
    }

    /// A string.
    pub fn text(&self, key: &str, faults: &mut Faults) -> Option<&'v str> {
        let text = self.get(key)?.as_str();
        if text.is_none() {
            faults.add(&self.at(key), "must be a string");
        }
        text
    }

    /// A string; absence is a fault.
    pub fn required_text(&self, key: &str, faults: &mut Faults) -> Option<&'v str> {
        if self.get(key).is_none() {
            faults.add(&self.at(key), "is missing");
        }
        self.text(key, faults)
    }

    /// A boolean.
    pub fn flag(&self, key: &str, faults: &mut Faults) -> Option<bool> {
        let flag = self.get(key)?.as_bool();
        if flag.is_none() {
            faults.add(&self.at(key), "must be true or false");
        }
        flag
    }

    /// An integer from `min` to `max`.
    pub fn integer(&self, key: &str, min: u64, max: u64, faults: &mut Faults) -> Option<u64> {
        let number = self.get(key)?.as_u64();
        let number = number.filter(|number| (min..=max).contains(number));
        if number.is_none() {
            let fault = format!("must be a whole number from {min} to {max}");
            faults.add(&self.at(key), fault);
        }
        number
    }

    /// A list of strings; empty if absent.
    pub fn texts(&self, key: &str, faults: &mut Faults) -> Vec<&'v str> {
        let Some(value) = self.get(key) else {
            return Vec::new();
        };
        let items = value.as_array();
        let texts: Option<Vec<&str>> =
            items.and_then(|items| items.iter().map(|item| item.as_str()).collect());
        if texts.is_none() {
            faults.add(&self.at(key), "must be a list of strings");
        }
        texts.unwrap_or_default()
    }
}
