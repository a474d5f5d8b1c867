//! The name=value parts of a message, read one by one.

use chalkdeck::api::{LoadReport, Outcome, TimeDelta};
use std::collections::HashMap;
use std::fmt::Display;
use std::str::FromStr;

/// What was wrong with a line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WireError(pub String);

impl Display for WireError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.0)
    }
}
impl std::error::Error for WireError {}

pub(crate) type Result<T> = std::result::Result<T, WireError>;

/// The name=value parts of one line, or of an object flattened to the same paths.
pub(crate) struct Fields<'a> {
    pub(crate) at: u64,
    pub(crate) message: &'a str,
    pub(crate) pairs: HashMap<&'a str, &'a str>,
}

impl<'a> Fields<'a> {
    pub(crate) fn parse(at: u64, line: &'a str) -> Result<Fields<'a>> {
        let mut parts = line.split(' ');
        let message = parts.next().unwrap_or("");
        let mut pairs = HashMap::new();
        for part in parts {
            let Some((name, value)) = part.split_once('=') else {
                return Err(WireError(format!(
                    "line {at}: {message}: expected name=value, found '{part}'"
                )));
            };
            pairs.insert(name, value);
        }
        Ok(Fields { at, message, pairs })
    }
    pub(crate) fn fail<T>(&self, name: &str, wanted: &str) -> Result<T> {
        let found = self
            .pairs
            .get(name)
            .map_or("nothing".to_string(), |v| format!("'{v}'"));
        let Fields { at, message, .. } = self;
        let place = if *at > 0 {
            format!("line {at}: ")
        } else {
            String::new()
        };
        Err(WireError(format!(
            "{place}{message}: {name}: expected {wanted}, found {found}"
        )))
    }
    pub(crate) fn read<T: FromStr>(&self, name: &str, wanted: &str) -> Result<Option<T>> {
        match self.pairs.get(name) {
            None => Ok(None),
            Some(text) => text.parse().map(Some).or_else(|_| self.fail(name, wanted)),
        }
    }
    pub(crate) fn whole(&self, name: &str) -> Result<u64> {
        self.read(name, "a whole number")?
            .map_or_else(|| self.fail(name, "a whole number"), Ok)
    }
    pub(crate) fn whole_or(&self, name: &str, default: u64) -> Result<u64> {
        Ok(self.read(name, "a whole number")?.unwrap_or(default))
    }
    pub(crate) fn small(&self, name: &str) -> Result<u32> {
        self.read(name, "a small whole number")?
            .map_or_else(|| self.fail(name, "a small whole number"), Ok)
    }
    pub(crate) fn real_or(&self, name: &str, default: f64) -> Result<f64> {
        match self.read::<f64>(name, "a number")? {
            Some(v) if !v.is_finite() => self.fail(name, "a finite number"),
            v => Ok(v.unwrap_or(default)),
        }
    }
    pub(crate) fn micros_or(&self, name: &str, default: u64) -> Result<TimeDelta> {
        self.whole_or(name, default).map(TimeDelta::from_micros)
    }
    pub(crate) fn flag_or(&self, name: &str, default: bool) -> Result<bool> {
        match self.pairs.get(name) {
            None => Ok(default),
            Some(&"1") | Some(&"true") => Ok(true),
            Some(&"0") | Some(&"false") => Ok(false),
            Some(_) => self.fail(name, "1 or 0"),
        }
    }
    pub(crate) fn text(&self, name: &str) -> Result<&'a str> {
        self.pairs
            .get(name)
            .copied()
            .map_or_else(|| self.fail(name, "a text"), Ok)
    }
    pub(crate) fn outcome(&self) -> Result<Outcome> {
        Ok(match self.text("how")? {
            "200" => Outcome::Ok,
            "500" => Outcome::Error,
            "503" => Outcome::Rejected,
            "504" => Outcome::Timeout,
            "502" => Outcome::ConnectFailed,
            "598" => Outcome::Reset,
            "499" => Outcome::Cancelled,
            "410" => Outcome::NeverSent,
            _ => return self.fail("how", "one of 200 410 499 500 502 503 504 598"),
        })
    }
    pub(crate) fn report(&self) -> Result<LoadReport> {
        let mut report = LoadReport::default();
        for pair in self
            .pairs
            .get("report")
            .into_iter()
            .flat_map(|r| r.split(','))
        {
            let value = pair
                .split_once(':')
                .and_then(|(k, v)| Some((k, v.parse::<f64>().ok()?)));
            match value {
                Some(("concurrent", v)) => report.in_flight = Some(v),
                Some(("depth", v)) => report.queued = Some(v),
                Some(("load_share", v)) => report.utilization = Some(v),
                Some(_) => {}
                None if pair.is_empty() => {}
                None => return self.fail("report", "name:number pairs"),
            }
        }
        Ok(report)
    }
}
